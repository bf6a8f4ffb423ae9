"""The event loop that every process of the system runs on."""

import asyncio
from typing import Any

import uvloop
from twisted.internet import asyncioreactor


def install_reactor() -> Any:
    """Install Twisted's asyncio reactor on a uvloop loop and return it.

    To be called before anything imports the reactor, as `treq` and `klein` do.
    """
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    install: Any = asyncioreactor.install
    install(loop)
    from twisted.internet import reactor

    return reactor
