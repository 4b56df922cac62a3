"""Define minimal futures and tasks that run coroutines on the daemon's event loop."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator
from typing import Any, Generic, TypeVar

T = TypeVar("T")

_PENDING = object()


class FutureCancelled(Exception):
    """Signal to a waiting coroutine that its future was cancelled."""


class Future(Generic[T]):
    """Hold a result that becomes available later; callbacks run synchronously when it is set."""

    __slots__ = ("_callbacks", "_exc", "_result")

    def __init__(self) -> None:
        self._result: Any = _PENDING
        self._exc: BaseException | None = None
        self._callbacks: list[Callable[[Future[T]], None]] = []

    def done(self) -> bool:
        """Return whether a result or an exception has been set."""
        return self._result is not _PENDING or self._exc is not None

    def result(self) -> T:
        """Return the result, or raise the exception that was set."""
        if self._exc is not None:
            raise self._exc
        if self._result is _PENDING:
            raise RuntimeError("the future has no result yet")
        return self._result

    def set_result(self, value: T) -> bool:
        """Set the result unless the future is done; return whether this call set it."""
        if self.done():
            return False
        self._result = value
        self._run_callbacks()
        return True

    def set_exception(self, exc: BaseException) -> bool:
        """Set an exception unless the future is done; return whether this call set it."""
        if self.done():
            return False
        self._exc = exc
        self._run_callbacks()
        return True

    def cancel(self) -> bool:
        """Set `FutureCancelled` as the exception unless the future is done."""
        return self.set_exception(FutureCancelled())

    def add_callback(self, callback: Callable[[Future[T]], None]) -> None:
        """Call `callback` with this future when it is done, immediately if it is done already."""
        self._callbacks.append(callback)
        if self.done():
            self._run_callbacks()

    def _run_callbacks(self) -> None:
        callbacks = self._callbacks
        self._callbacks = []
        for callback in callbacks:
            callback(self)
        if callbacks and self._exc is not None:
            # Frames that have raised it refer to this future: such a ring of references would
            # keep all that they hold until the cyclic collector runs.
            self._exc.__traceback__ = None

    def __await__(self) -> Generator[Future[T], None, T]:
        if not self.done():
            yield self
        return self.result()


class Task(Future[T]):
    """Run one coroutine; its return value or exception becomes the task's result."""

    __slots__ = ("_coro",)

    def __init__(self, coro: Coroutine[Any, Any, T]) -> None:
        super().__init__()
        self._coro = coro

    def step(self, _fut: Future[Any] | None = None) -> None:
        """Run the coroutine until it awaits a pending future or ends."""
        try:
            fut = self._coro.send(None)
        except StopIteration as stop:
            self.set_result(stop.value)
        except Exception as exc:
            self.set_exception(exc)
        else:
            fut.add_callback(self.step)


def spawn(coro: Coroutine[Any, Any, T]) -> Task[T]:
    """Start a coroutine immediately and return its task.

    Parameters
    ----------
    coro : coroutine
        Coroutine that awaits only `Future` objects of this module.

    Returns
    -------
    Task
        Done when the coroutine has returned or raised.
    """
    task = Task(coro)
    task.step()
    return task
