"""The event loop that every process of the system runs on."""

import asyncio
from typing import Any

import uvloop
from twisted.internet import asyncioreactor


def install_reactor() -> Any:
    """Install Twisted's asyncio reactor on a uvloop loop and return it.

    Call this before importing any module that imports the reactor, such as `treq` or `klein`.
    """
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    install: Any = asyncioreactor.install
    install(loop)
    from twisted.internet import reactor

    return reactor
