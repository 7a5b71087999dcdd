"""Controller of ``/v1/voters``: lists the voters and removes an entry that is permanently gone."""

from __future__ import annotations

from collections.abc import Callable, Collection
from urllib.parse import unquote

import msgspec

from .configuration import Configuration
from .decoding import decode_json
from .effect import ProposeVoters
from .errors import MessageError
from .group import VOTERS_KEY, VoterSet
from .ids import EntryId
from .outcome import Invalid, SnipewellError
from .resourceapi import respond_error
from .restore import restore
from .server import response_from_invalid
from .store import Store, StoreError
from .web import Request, Response

_PATH = "/v1/voters"


async def write_voters(store: Store, configuration: Configuration, proposal: ProposeVoters) -> bool:
    """Write ``proposal.following`` if the store has ``proposal.current``; return whether it did.

    A stored set with a lower version than ``proposal.current`` means that the store went back to an
    earlier revision: the configuration in force is restored to it first. Raises StoreError.
    """
    for _ in range(2):
        stored = await store.get(VOTERS_KEY)
        value = stored.value if stored is not None else b""
        try:
            stored_set = decode_json(value, VoterSet) if value else VoterSet()
        except MessageError as error:
            raise StoreError("store", f"unreadable voters: {error}") from None
        if stored_set == proposal.current:
            revision = stored.revision if stored is not None else 0
            following = msgspec.json.encode(proposal.following)
            await store.compare_and_swap(VOTERS_KEY, following, revision)
            return True
        if stored_set.version >= proposal.current.version:
            return False
        await restore(store, configuration)
    return False


class VoterApi:
    """Lists the voters, and removes one on an operator's request if it is permanently gone.

    The removal does not wait for a majority of voters, because it is meant for the case in which
    no majority is left. ``live`` returns the entries that are registered or were seen recently;
    these are never removed.
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        live: Callable[[], Collection[EntryId]],
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._live = live

    def serves(self, request: Request) -> bool:
        """Return True if the path of ``request`` belongs to this controller."""
        return request.path == _PATH or request.path.startswith(_PATH + "/")

    async def handle(self, request: Request) -> Response:
        """List the voters on GET, remove one on DELETE, and answer 405 to other requests."""
        name = unquote(request.path.removeprefix(_PATH).removeprefix("/"))
        if request.method in ("GET", "HEAD") and not name:
            return self._list(200)
        if request.method != "DELETE" or not name:
            reason = "expected GET of /v1/voters or DELETE of /v1/voters/<entry>"
            return response_from_invalid(Invalid(405, reason, "method"))
        try:
            return await self._remove(EntryId(name))
        except SnipewellError as error:
            return respond_error(error)

    def _list(self, status: int) -> Response:
        voters, live = self._configuration.voters, self._live()
        entries = [{"entry": entry, "live": entry in live} for entry in voters.voters]
        return Response.from_json(status, {"version": voters.version, "voters": entries})

    async def _remove(self, entry: EntryId) -> Response:
        current = self._configuration.voters
        if entry not in current.voters:
            return response_from_invalid(Invalid(404, f"no such voter: {entry[:80]}", "entry"))
        if entry in self._live():
            reason = f"{entry} is registered or answers: it is not gone"
            return response_from_invalid(Invalid(409, reason, "entry"))
        remaining = {e: address for e, address in current.voters.items() if e != entry}
        following = current.next_set(remaining)
        if not await write_voters(
            self._store, self._configuration, ProposeVoters(current, following)
        ):
            reason = "the voters changed meanwhile; look at them and repeat the call"
            return response_from_invalid(Invalid(409, reason, "entry"))
        body = {"version": following.version, "voters": [{"entry": e} for e in following.voters]}
        return Response.from_json(200, body)
