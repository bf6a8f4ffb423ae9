"""Runs the tests on the event loop that the product runs on."""

import asyncio

import uvloop

asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
