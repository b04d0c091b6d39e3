"""Starts the plug-ins that register themselves and stops them in reverse.

A plug-in is a name, what it needs and a function that builds its task. A task is
one thread that owns its sockets and state and takes messages from its mailbox.
Tasks share nothing but the `Board`, whose slots hold immutable snapshots.
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

from .errors import SettingsError
from .logs import log_event
from .settings import Settings

LOGGER: Final = logging.getLogger(__name__)
STOP_TIMEOUT_S: Final = 5.0
MAX_TICK_S: Final = 3_600.0

T = TypeVar("T")


class Slot(Generic[T]):
    """One published snapshot; a single task writes it, any may read it."""

    def __init__(self, *, value: T) -> None:
        self._value = value

    def read(self) -> T:
        """Returns the newest snapshot."""
        return self._value

    def publish(self, value: T) -> None:
        """Replaces the snapshot; assignment of a reference is atomic."""
        self._value = value


class Task(Protocol):
    """What the kernel needs of a task."""

    def start(self) -> None:
        """Opens sockets and starts the thread; raises when it cannot."""

    def stop(self) -> None:
        """Ends the thread and closes what it owns."""

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox; callable from any thread."""


class Inbox:
    """A mailbox for a task that waits on sockets: posting wakes its selector."""

    def __init__(self) -> None:
        self._messages: list[Any] = []
        self.wake_socket, self._write = socket.socketpair()
        self.wake_socket.setblocking(False)
        self._write.setblocking(False)

    def post(self, message: Any) -> None:
        """Puts a message in; callable from any thread."""
        self._messages.append(message)
        self.wake()

    def wake(self) -> None:
        """Wakes the task."""
        try:
            self._write.send(b"x")
        except OSError:
            pass  # awake already, or closed

    def clear_wakeup(self) -> None:
        """Reads what woke the task."""
        try:
            self.wake_socket.recv(4_096)
        except BlockingIOError:
            pass  # another wake read it

    def take(self) -> list[Any]:
        """Takes all messages out, oldest first."""
        messages, self._messages = self._messages, []
        return messages

    def close(self) -> None:
        """Closes the sockets."""
        self.wake_socket.close()
        self._write.close()


def run_step(task: str, step: Callable[..., None], *arguments: Any) -> None:
    """Runs one step of a task; a failure is logged and ends no more than the step."""
    try:
        step(*arguments)
    except Exception:
        LOGGER.exception("event=task_error task=%s", task)


class MailboxTask:
    """A task without sockets of its own to wait on: a mailbox and a tick.

    Subclasses are not meant; behaviour comes as two functions.

    Args:
        name: of the thread.
        handle: called in the task's thread for each message.
        tick: called in the task's thread, returns seconds until the next call.
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
        """Has the tick come no later than `when`; from the task's own thread."""
        self._due = min(self._due, when)

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the message it is handling."""
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
                    # Ahead of the tick, which may ask for an earlier next one.
                    self._due = time.monotonic() + MAX_TICK_S
                    self.schedule_tick(time.monotonic() + self._tick())
            except Exception:
                # A task must outlive one bad message; the log has the cause.
                LOGGER.exception("event=task_error task=%s", self._name)
                self._due = max(self._due, time.monotonic() + 0.1)


@dataclass(slots=True, kw_only=True)
class Context:
    """What a plug-in gets: settings, the other tasks and the board.

    Attributes:
        process_id: this process, unique over restarts: `DAEMON-ID.RANDOM`.
        tasks: tasks by plug-in name, filled in start order.
        slots: the board, by name.
        readiness: plug-in name to a function that tells whether it is ready.
    """

    settings: Settings
    process_id: str
    tasks: dict[str, Task] = field(default_factory=dict)
    slots: dict[str, Slot[Any]] = field(default_factory=dict)
    readiness: dict[str, Callable[[], bool]] = field(default_factory=dict)

    def open_slot(self, name: str, value: T) -> Slot[T]:
        """Opens a slot of the board with a first snapshot."""
        slot = Slot(value=value)
        self.slots[name] = slot
        return slot

    def post(self, task: str, message: Any) -> None:
        """Sends a message to another task of this daemon."""
        self.tasks[task].post(message)


@dataclass(frozen=True, slots=True, kw_only=True)
class Plugin:
    """A part that the kernel can start.

    Attributes:
        name: as in the settings' `plugins`.
        requires: plug-ins that must be started before it.
        build: makes the task; opens no sockets yet.
    """

    name: str
    requires: tuple[str, ...]
    build: Callable[[Context], Task]


_PLUGINS: dict[str, Plugin] = {}


def register_plugin(plugin: Plugin) -> None:
    """Makes a plug-in known; its module calls this when it is imported."""
    _PLUGINS[plugin.name] = plugin


def list_plugins() -> Mapping[str, Plugin]:
    """Lists the plug-ins known so far."""
    return dict(_PLUGINS)


def order_plugins(names: tuple[str, ...], known: Mapping[str, Plugin]) -> list[Plugin]:
    """Orders the chosen plug-ins so that each follows what it requires.

    Raises:
        SettingsError: an unknown name, or a circle of requirements.
    """
    chosen = names or tuple(known)
    order: list[Plugin] = []
    open_names: list[str] = []

    def visit(name: str) -> None:
        if any(plugin.name == name for plugin in order):
            return
        if name not in known:
            accepted = ", ".join(known)
            raise SettingsError(f"unknown plug-in `{name}`; accepted: {accepted}")
        if name in open_names:
            raise SettingsError(f"plug-ins require each other: {open_names}")
        open_names.append(name)
        for required in known[name].requires:
            visit(required)
        open_names.remove(name)
        order.append(known[name])

    for name in chosen:
        visit(name)
    return order


class Kernel:
    """Builds and starts the tasks of one daemon.

    Args:
        settings: of this daemon; `plugins` chooses the parts, empty means all.
    """

    def __init__(self, *, settings: Settings) -> None:
        process_id = f"{settings.daemon.id}.{secrets.token_hex(4)}"
        self.context = Context(settings=settings, process_id=process_id)
        self._order = order_plugins(settings.plugins, list_plugins())

    def start(self) -> None:
        """Starts all tasks; on a failure stops those already started."""
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
        """Stops all tasks in reverse order and reports every failure together."""
        failures: list[Exception] = []
        for name, task in reversed(self.context.tasks.items()):
            try:
                task.stop()
            except Exception as error:
                error.add_note(f"while stopping task {name}")
                failures.append(error)
        if failures:
            raise ExceptionGroup("tasks that did not stop cleanly", failures)
