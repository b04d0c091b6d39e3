"""Starts the registered plug-ins and stops them in reverse order.

A plug-in has a name, the plug-ins that it requires and a function that builds its
task. A task is one thread that owns its sockets and state and takes messages from
its mailbox. Tasks share nothing but the board, which is the set of slots in
`Context`; each slot holds an immutable snapshot.
"""

import logging
import queue
import secrets
import socket
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final, Generic, Protocol, TypeVar

from .caller_account import CallerAccount
from .errors import SettingsError
from .logs import log_event
from .settings import Settings

LOGGER: Final = logging.getLogger(__name__)
STOP_TIMEOUT_S: Final = 5.0
MAX_TICK_S: Final = 3_600.0

T = TypeVar("T")


class Slot(Generic[T]):
    """One published snapshot; a single task writes it and any task may read it."""

    def __init__(self, *, value: T) -> None:
        self._value = value

    def read(self) -> T:
        """Returns the newest snapshot."""
        return self._value

    def publish(self, value: T) -> None:
        """Replaces the snapshot; assignment of a reference is atomic."""
        self._value = value


class Task(Protocol):
    """Interface of a task to the kernel."""

    def start(self) -> None:
        """Opens sockets and starts the thread; raises when it cannot."""

    def stop(self) -> None:
        """Ends the thread and closes the resources that it owns."""

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox; callable from any thread."""


class Inbox:
    """A mailbox for a task that waits on sockets; posting wakes the task's selector."""

    def __init__(self) -> None:
        self._messages: list[Any] = []
        self.wake_socket, self._send_socket = socket.socketpair()
        self.wake_socket.setblocking(False)
        self._send_socket.setblocking(False)

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox; callable from any thread."""
        self._messages.append(message)
        self.wake()

    def wake(self) -> None:
        """Wakes the task's selector."""
        try:
            self._send_socket.send(b"x")
        except OSError:
            pass  # a wake-up is pending already, or the socket is closed

    def clear_wakeup(self) -> None:
        """Discards the bytes that woke the task's selector."""
        try:
            self.wake_socket.recv(4_096)
        except BlockingIOError:
            pass  # an earlier call has read them

    def take(self) -> list[Any]:
        """Takes all messages out, oldest first."""
        messages, self._messages = self._messages, []
        return messages

    def close(self) -> None:
        """Closes the sockets."""
        self.wake_socket.close()
        self._send_socket.close()


def run_step(task: str, step: Callable[..., None], *arguments: Any) -> None:
    """Runs one step of a task; an exception is logged and ends only this step."""
    try:
        step(*arguments)
    except Exception:
        LOGGER.exception("event=task_error task=%s", task)


class MailboxTask:
    """A task with a mailbox and a periodic tick that waits on no sockets of its own.

    Its behaviour is passed in as functions; no method is meant to be overridden.

    Args:
        name: name of the thread.
        handle: called in the task's thread for each message.
        tick: called in the task's thread; returns the seconds until the next call.
        close: called by `stop` at the end.
    """

    def __init__(
        self,
        *,
        name: str,
        handle: Callable[[Any], None],
        tick: Callable[[], float],
        close: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._handle = handle
        self._tick = tick
        self._close = close
        self._mailbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()
        self._due = 0.0

    def schedule_tick(self, when: float) -> None:
        """Makes the next tick due no later than `when`, in monotonic seconds.

        Only the task's own thread may call this.
        """
        self._due = min(self._due, when)

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread once it has handled its current message."""
        self._stopping.set()
        self._mailbox.put(None)
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)
        self._close()

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox."""
        self._mailbox.put(message)

    def _run(self) -> None:
        self._due = time.monotonic()
        while not self._stopping.is_set():
            wait_s = max(0.0, self._due - time.monotonic())
            try:
                message = self._mailbox.get(timeout=wait_s)
            except queue.Empty:
                message = None
            try:
                if message is not None:
                    self._handle(message)
                if time.monotonic() >= self._due:
                    # Set before the tick, which may schedule an earlier next tick.
                    self._due = time.monotonic() + MAX_TICK_S
                    self.schedule_tick(time.monotonic() + self._tick())
            except Exception:
                # One bad message must not end the task; the log has the cause.
                LOGGER.exception("event=task_error task=%s", self._name)
                self._due = max(self._due, time.monotonic() + 0.1)


@dataclass(slots=True, kw_only=True)
class Context:
    """What a plug-in has access to: the settings, the other tasks and the board.

    Attributes:
        process_id: id of this process, `DAEMON-ID.RANDOM`, unique across restarts.
        tasks: tasks by plug-in name, added in start order.
        slots: the slots of the board by name.
        readiness: functions that tell whether a plug-in is ready, by plug-in name.
        unfinished: functions that tell whether a caller waits for something that it
            sent to a plug-in before a monotonic time, by plug-in name.
        account: counts callers' connections and requests.
    """

    settings: Settings
    process_id: str
    tasks: dict[str, Task] = field(default_factory=dict)
    slots: dict[str, Slot[Any]] = field(default_factory=dict)
    readiness: dict[str, Callable[[], bool]] = field(default_factory=dict)
    unfinished: dict[str, Callable[[float], bool]] = field(default_factory=dict)
    account: CallerAccount = field(default_factory=CallerAccount)

    def open_slot(self, name: str, value: T) -> Slot[T]:
        """Adds a slot with its first snapshot to the board."""
        slot = Slot(value=value)
        self.slots[name] = slot
        return slot

    def post(self, task: str, message: Any) -> None:
        """Sends a message to another task of this daemon."""
        self.tasks[task].post(message)


@dataclass(frozen=True, slots=True, kw_only=True)
class Plugin:
    """A component that the kernel can start.

    Attributes:
        name: name in the settings' `plugins`.
        requires: plug-ins that must be started before this one.
        build: makes the task without opening sockets.
    """

    name: str
    requires: tuple[str, ...]
    build: Callable[[Context], Task]


_PLUGINS: dict[str, Plugin] = {}


def register_plugin(plugin: Plugin) -> None:
    """Registers a plug-in; its module calls this when it is imported."""
    _PLUGINS[plugin.name] = plugin


def list_plugins() -> Mapping[str, Plugin]:
    """Lists the plug-ins registered so far."""
    return dict(_PLUGINS)


def order_plugins(names: tuple[str, ...], known: Mapping[str, Plugin]) -> list[Plugin]:
    """Orders the chosen plug-ins so that each follows those that it requires.

    Raises:
        SettingsError: a name is unknown, or requirements are circular.
    """
    chosen = names or tuple(known)
    order: list[Plugin] = []
    in_progress: list[str] = []

    def visit(name: str) -> None:
        if any(plugin.name == name for plugin in order):
            return
        if name not in known:
            accepted = ", ".join(known)
            raise SettingsError(f"unknown plug-in `{name}`; accepted: {accepted}")
        if name in in_progress:
            raise SettingsError(f"plug-ins require each other: {in_progress}")
        in_progress.append(name)
        for required in known[name].requires:
            visit(required)
        in_progress.remove(name)
        order.append(known[name])

    for name in chosen:
        visit(name)
    return order


class Kernel:
    """Builds and starts the tasks of one daemon.

    Args:
        settings: settings of this daemon; `plugins` chooses the plug-ins, and an
            empty value means all.
    """

    def __init__(self, *, settings: Settings) -> None:
        process_id = f"{settings.daemon.id}.{secrets.token_hex(4)}"
        self.context = Context(settings=settings, process_id=process_id)
        self._order = order_plugins(settings.plugins, list_plugins())

    def start(self) -> None:
        """Starts all tasks; if one fails, stops those already started."""
        for plugin in self._order:
            self.context.tasks[plugin.name] = plugin.build(self.context)
        started: list[Task] = []
        try:
            for name, task in self.context.tasks.items():
                task.start()
                started.append(task)
                log_event(LOGGER, "task_started", task=name)
        except BaseException:
            for task in reversed(started):
                task.stop()
            raise

    def stop(self) -> None:
        """Stops all tasks in reverse order, then raises all failures together."""
        failures: list[Exception] = []
        for name, task in reversed(self.context.tasks.items()):
            try:
                task.stop()
            except Exception as error:
                error.add_note(f"while stopping task {name}")
                failures.append(error)
        if failures:
            raise ExceptionGroup("tasks that did not stop cleanly", failures)
