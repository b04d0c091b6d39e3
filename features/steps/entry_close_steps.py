"""Steps for what a daemon does with connections in one step of its event loop."""

import asyncio
import socket
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_exit_steps import RECEIVE_BYTES, RawCaller, read_all, render
from steps.entry_steps import start_world, wait_for

from berylpost.sockets import count_unread

LATE_S = 0.5  # of the event loop, within one of its steps
ARRIVAL_S = 2.0  # within which bytes that were sent are in a socket
CLOSED_S = 0.2  # within which the caller learns of the close


def sweep(front):
    """Lets the idle time-out of all connections pass and looks for them."""
    for connection in front.connections:
        connection.active_at -= 1_000.0
    front.sweep()


CLOSES = {
    "the daemon leaves": lambda front: front.close_idle(0.0),
    "they were idle for too long": sweep,
    "new ones come": lambda front: [
        front._close_one() for _ in list(front.connections)
    ],
}


def await_bytes(connections):
    """Waits until bytes are in the sockets, without a turn for the event loop."""
    ends_at = time.monotonic() + ARRIVAL_S
    while not all(count_unread(c.read_descriptor()) for c in connections):
        assert time.monotonic() < ends_at
        time.sleep(0.002)


def open_caller(address, receive_bytes):
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(5.0)
    sock.connect(address)
    return RawCaller(sock)


@given("{n:d} callers that keep connections to an entry daemon")
def step_keep(context: Context, n: int, receive_bytes: int = 0) -> None:
    start_world(context)
    context.front = context.world.daemons["entry-0"].front
    address = tuple(context.world.daemons["entry-0"].settings.front)
    context.callers = [open_caller(address, receive_bytes) for _ in range(n)]
    for caller in context.callers:
        context.add_cleanup(caller.sock.close)
        caller.send("read")
    read_all(context.callers)
    for caller in context.callers:
        caller.outcome.n_complete = 0


@given("{n:d} callers that keep connections to an entry daemon and read slowly")
def step_keep_slow(context: Context, n: int) -> None:
    step_keep(context, n, RECEIVE_BYTES)


@given("the daemon leaves")
def step_leave(context: Context) -> None:
    context.front.leaving = True


@when("their next requests arrive just when it answers others of theirs")
def step_arrive_behind(context: Context) -> None:
    waiting = {c.sock.getsockname(): c for c in context.callers}

    async def answer(request, connection):
        # Without a pause, so that the event loop has not read it.
        peer = connection._transport.get_extra_info("peername")
        if caller := waiting.pop(peer, None):
            caller.send("read")
            await_bytes([connection])
        connection.answer(200, b"", (), b"x")

    context.front.handler = answer
    for caller in context.callers:
        caller.send("read")


@when("they send requests for {n:d} bytes and, {seconds:f} s later, further ones")
def step_send_behind(context: Context, n: int, seconds: float) -> None:
    for replica in context.world.replicas:
        replica.answer_bytes = n
    for caller in context.callers:
        caller.send("read")
    time.sleep(seconds)
    for caller in context.callers:
        caller.send("read")
    read_all(context.callers)


@then("each of them gets {k:d} complete answers")
def step_check_many(context: Context, k: int) -> None:
    read_all(context.callers, k)
    lost = [c.outcome for c in context.callers if c.outcome.n_complete < k]
    assert not lost, (len(lost), len(context.callers), lost[:3])


@when('their next requests arrive just when it closes connections since "{why}"')
def step_arrive(context: Context, why: str) -> None:
    async def act():
        for caller in context.callers:
            caller.send("read")
        await_bytes(context.front.connections)
        CLOSES[why](context.front)

    context.world.run(act())
    read_all(context.callers)


@then("each of them gets a complete answer")
def step_check(context: Context) -> None:
    lost = [c.outcome for c in context.callers if not c.outcome.complete]
    assert not lost, (len(lost), len(context.callers), lost[:3])


@then('they learn at once, although it is late, that it closes them since "{why}"')
def step_check_close(context: Context, why: str) -> None:
    async def act():
        CLOSES[why](context.front)
        time.sleep(LATE_S)

    future = asyncio.run_coroutine_threadsafe(act(), context.world.loop)
    time.sleep(CLOSED_S)
    late = []
    for caller in context.callers:
        caller.sock.settimeout(0.0)
        try:
            data = caller.sock.recv(1)
        except BlockingIOError:
            late.append(caller)
        else:
            assert not data, data
    future.result(5.0)
    assert not late, (len(late), len(context.callers))


@when("they send {k:d} requests at once, and the memory for them is taken away")
def step_take_memory(context: Context, k: int) -> None:
    async def act():
        for connection in context.front.connections:
            connection.memory.reject_overload()

    for caller in context.callers:
        caller.sock.sendall(b"".join(render("read") for _ in range(k)))
    n_read = (k + 1) * len(context.callers)
    wait_for(5.0, lambda: context.front.account.n_read == n_read or "not read")
    context.world.run(act())


@then("no request is open at the daemon")
def step_check_open(context: Context) -> None:
    counts = context.front.account.export_counts()
    assert not context.front.account.n_open, counts
    assert not counts["requests_unserved"], counts
