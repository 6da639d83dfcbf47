"""A fake of the platform's store with an HTTP server."""

from typing import Any
from urllib import parse

import attrs
import orjson
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import http

PAGE_ITEMS = 3
# Part of the price of a call that a read costs if it may be stale.
STALE_READ_PRICE = 0.1


@attrs.frozen
class StoreCopy:
    """A copy of the store's objects at a revision."""

    objects: dict[str, dict[str, Any]]
    revision: int


class StandInStore:
    """Objects by kind, with a common revision and a history of changes.

    Attributes:
        objects: Objects by kind and name.
        history: Changes as (revision, kind, event).
        revision: Revision of the last change.
        forgotten: Revision up to which the history was dropped.
        refuse: HTTP status of every response, or None to serve normally.
        era: Number of the store's current lifetime, in all responses; None to
            leave it out.
        calls: Method and target of all calls, in order.
        lagging: Copy that lists return if they may lag, or None.
        reactor: Runs the timers of waiting watches.
        waiting: Open watches as (request, kind, revision, unique object).
    """

    def __init__(self, reactor: Any = reactor) -> None:
        self.reactor = reactor
        self.objects: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, str, Any]] = []
        self.revision = 1
        self.forgotten = 0
        self.refuse: int | None = None
        self.era: int | None = None
        self.lagging: StoreCopy | None = None
        self.calls: list[str] = []
        self.waiting: list[tuple[Any, str, int, Any]] = []

    @property
    def price(self) -> float:
        """The price of all calls so far, refused ones included."""
        stale_count = sum("allow_stale=1" in call for call in self.calls)
        return len(self.calls) - (1.0 - STALE_READ_PRICE) * stale_count

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object; a put that changes nothing is none."""
        earlier = self.objects.get(kind, {}).get(name)
        if earlier is not None and earlier["spec"] == spec:
            return
        self.revision += 1
        stored = {
            "meta": {"name": name, "revision": self.revision},
            "spec": spec,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._record_change(kind, {"object": stored, "deleted": False})

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._record_change(kind, {"object": stored, "deleted": True})

    def _record_change(self, kind: str, event: Any) -> None:
        self.history.append((self.revision, kind, event))
        for entry in list(self.waiting):
            if entry[1] == kind:
                self.waiting.remove(entry)
                self._answer_watch(*entry[:3])

    def forget(self) -> None:
        """Drop the history, so that older watches are answered with 410."""
        self.forgotten = self.revision
        self.history.clear()

    def make_copy(self) -> StoreCopy:
        """Return a copy that the store can be restored from."""
        return StoreCopy(self._copy_objects(self.objects), self.revision)

    def _copy_objects(
        self, objects: dict[str, dict[str, Any]]
    ) -> dict[str, dict[str, Any]]:
        # Objects themselves are replaced, never changed.
        return {kind: dict(known) for kind, known in objects.items()}

    def restore(self, earlier: StoreCopy) -> None:
        """Go back to a copy: revisions repeat, and a new era begins."""
        self.objects = self._copy_objects(earlier.objects)
        self.revision = earlier.revision
        self.forget()
        self.era = (self.era or 0) + 1
        for request, *_ in self.waiting:
            request.send(410, {})
        self.waiting.clear()

    def list(self, kind: str, after: str, *, may_lag: bool = False) -> Any:
        """Return the page of a list that follows the name `after`."""
        source: Any = self.lagging if may_lag and self.lagging else self
        names = sorted(n for n in source.objects.get(kind, {}) if n > after)
        page = names[:PAGE_ITEMS]
        return {
            "items": [source.objects[kind][name] for name in page],
            "has_more": len(names) > len(page),
            "as_of": source.revision,
        }

    def _answer_watch(self, request: Any, kind: str, revision: int) -> None:
        events = [e for at, k, e in self.history if k == kind and at > revision]
        request.send(200, {"events": events, "as_of": self.revision})

    def _on_watch_timeout(self, entry: tuple[Any, str, int, Any]) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            self._answer_watch(*entry[:3])

    def watch(
        self, request: Any, kind: str, revision: int, wait_ms: int
    ) -> None:
        """Answer a watch at once, at the next change or after `wait_ms`."""
        if not self.forgotten <= revision <= self.revision:
            request.send(410, {})
        elif any(at > revision and k == kind for at, k, _ in self.history):
            self._answer_watch(request, kind, revision)
        else:
            entry = (request, kind, revision, object())
            self.waiting.append(entry)
            timer = self.reactor.callLater(
                wait_ms / 1_000, self._on_watch_timeout, entry
            )
            request.notifyFinish().addErrback(
                lambda _: self._abandon_watch(entry, timer)
            )

    def _abandon_watch(
        self, entry: tuple[Any, str, int, Any], timer: Any
    ) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
        if timer.active():
            timer.cancel()

    def handle(self, request: Any) -> None:
        """Serve one call."""
        target = request.uri.decode()
        self.calls.append(f"{request.method.decode()} {target}")
        if self.refuse is not None:
            request.send(self.refuse, {})
            return
        path, _, query = target.partition("?")
        fields = dict(parse.parse_qsl(query))
        _, _, kind, *names = path.split("/")
        match request.method:
            case b"GET" if "watch" in fields:
                self.watch(
                    request,
                    kind,
                    int(fields["watch"]),
                    int(fields["wait_ms"]),
                )
            case b"GET" if names:
                name = parse.unquote(names[0])
                stored = self.objects.get(kind, {}).get(name)
                request.send(404 if stored is None else 200, stored or {})
            case b"GET":
                after = fields.get("after", "")
                may_lag = "allow_stale" in fields
                request.send(200, self.list(kind, after, may_lag=may_lag))
            case b"POST":
                body = orjson.loads(request.content.read())
                name = body["meta"]["name"]
                status = 409 if name in self.objects.get(kind, {}) else 200
                if status == 200:
                    self.put(kind, name, body["spec"])
                request.send(status, {})
            case b"DELETE":
                name = parse.unquote(names[0])
                exists = name in self.objects.get(kind, {})
                if exists:
                    self.delete(kind, name)
                request.send(200 if exists else 404, {})
            case b"PUT":
                body = orjson.loads(request.content.read())
                self.put(kind, parse.unquote(names[0]), body["spec"])
                request.send(200, {})


class StoreRequest(http.Request):
    """A call to the store."""

    store: StandInStore

    def process(self) -> None:
        """Pass the call to the store."""
        self.store.handle(self)

    def send(self, status: int, document: Any) -> None:
        """Send a response, unless the client has disconnected."""
        if self._disconnected:
            return
        body = orjson.dumps(document)
        self.setResponseCode(status)
        if self.store.era is not None:
            self.setHeader(b"store-era", b"%d" % self.store.era)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class StoreFactory(protocol.ServerFactory):
    """Serves a stand-in store."""

    noisy = False

    def __init__(self, store: StandInStore) -> None:
        class BoundRequest(StoreRequest):
            pass

        BoundRequest.store = store
        self.request_class = BoundRequest

    def buildProtocol(self, addr: Any) -> http.HTTPChannel:  # noqa: N802
        """Create a channel."""
        channel = http.HTTPChannel()
        channel.factory = self
        channel.requestFactory = self.request_class
        return channel

    def log(self, request: Any) -> None:
        """Write no access log."""
