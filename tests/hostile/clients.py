"""Clients that announce, send or withhold more than they should.

Each is a function of the address, which serves one connection until the other
side closes it. ``run`` opens the connection again after that.
"""

import contextlib

import trio

from tests.hostile import nodeprocess
from tests.platform import harness

REOPEN_S = 0.2
HUGE_BYTES = 1 << 40
BLOCK_BYTES = 64 * 1024
# Sent of a body before a client stops just short of the end.
UNFINISHED_BYTES = nodeprocess.BODY_BYTES - BLOCK_BYTES
SMALL_CHUNK_BYTES = (1, 2, 5, 16)
SMALL_CHUNKS_BYTES = 512 * 1024
HEAD = (
    f"POST {harness.CALL_PATH}1 HTTP/1.1\r\nhost: {harness.HOST}\r\n"
    f"api-key: {harness.KEY}\r\nx-kingcupscale-request-id: hostile\r\n"
).encode()
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
BLOCK = b"x" * BLOCK_BYTES
CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, BLOCK)


async def run(client, address):
    """Runs a client until cancelled; opens its connection again if closed."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await client(stream)
        await trio.sleep(REOPEN_S)


async def announce_too_much(stream):
    """Announces a body far over the limit and sends it."""
    await stream.send_all(HEAD + b"content-length: %d\r\n\r\n" % HUGE_BYTES)
    while True:
        await stream.send_all(BLOCK)


async def send_too_much(stream):
    """Sends a chunked body that never ends."""
    await stream.send_all(HEAD + CHUNKED)
    while True:
        await stream.send_all(CHUNK)


async def withhold_end(stream):
    """Sends most of an announced body within the limit and stays open."""
    length = nodeprocess.BODY_BYTES
    await stream.send_all(HEAD + b"content-length: %d\r\n\r\n" % length)
    for _ in range(UNFINISHED_BYTES // BLOCK_BYTES):
        await stream.send_all(BLOCK)
    await _wait_for_close(stream)


async def withhold_large_chunk(stream):
    """Sends large chunks just short of the limit and stays open."""
    await stream.send_all(HEAD + CHUNKED)
    for _ in range(UNFINISHED_BYTES // BLOCK_BYTES):
        await stream.send_all(CHUNK)
    await _wait_for_close(stream)


async def withhold_small_chunk(stream):
    """Sends chunks of a few bytes, then stays open."""
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (n, b"x" * n) for n in SMALL_CHUNK_BYTES
    )
    block = chunks * (BLOCK_BYTES // len(chunks))
    await stream.send_all(HEAD + CHUNKED)
    for _ in range(SMALL_CHUNKS_BYTES // len(block)):
        await stream.send_all(block)
    await _wait_for_close(stream)


async def send_many_values(stream):
    """Sends batches within the limit that decode to very many objects."""
    values = b"{}," * (nodeprocess.BODY_BYTES // 3 - 100)
    body = b'{"items":[%b{}]}' % values
    head = HEAD.replace(harness.CALL_PATH.encode(), harness.BATCH_PATH.encode())
    request = head + b"content-length: %d\r\n\r\n" % len(body)
    while True:
        await stream.send_all(request)
        await stream.send_all(body)
        if not await stream.receive_some(4096):
            return


async def withhold_end_of_head(stream):
    """Sends headers one after another without an end."""
    await stream.send_all(HEAD)
    while True:
        await stream.send_all(b"x-more: 1\r\n")
        await trio.sleep(0.05)


async def send_nothing(stream):
    """Only opens a connection."""
    await _wait_for_close(stream)


async def read_nothing(stream):
    """Sends requests without reading the responses."""
    request = HEAD + b"content-length: 0\r\n\r\n"
    while True:
        await stream.send_all(request * 100)


async def _wait_for_close(stream):
    while await stream.receive_some(4096):
        pass
