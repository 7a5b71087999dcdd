"""Selection of the entries that an agent opens sessions with, without any I/O.

If every agent had a session with every entry, the cost of heartbeats and reports would grow with
the product of their numbers. Each agent therefore selects a subset of fixed size by rendezvous
hashing: all entries get about the same number of agents, and when an entry comes or goes, each
agent changes at most one session.

Half of the subset is in the agent's own availability zone, where frames are fast and cost nothing.
The rest is spread evenly over the other zones, so that an entry keeps enough upstreams when one
zone is lost. While a zone is out of service, its entries still serve their clients but can't use
the upstreams beside them, which are half of theirs; the agents of the other zones then select more
entries of that zone.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

import xxhash

SUBSET_SIZE = 8
"""Number of entries that an agent has sessions with. If a third of all entries fail at once, fewer
than two of 10,000 agents lose their whole subset and have to wait for substitutes."""
LOCAL_SHARE = 0.5
"""Share of the subset in the agent's own availability zone."""
MAX_SESSIONS = 2 * SUBSET_SIZE
"""Upper bound of the sessions of an agent, including those to entries that have left the subset."""


def select_entries(
    agent: str,
    zone: str,
    entry_zones: Mapping[str, str],
    failed: Collection[str] = (),
    zones_out: Collection[str] = (),
) -> set[str]:
    """Return the names of the entries that the agent ``agent`` in ``zone`` connects to.

    ``entry_zones`` holds the availability zone of each known entry. All are selected if there are
    no more than `SUBSET_SIZE`. For example, with 35 entries in five zones the result has four
    entries of ``zone`` and one of each other zone.

    ``failed`` holds the entries that don't respond. They stay in the subset, since they may come
    back, and substitutes are added for them: the entries that would be selected without them.
    ``zones_out`` holds the zones out of service, of whose entries more are selected.
    """
    subset = _select(agent, zone, entry_zones)
    working = {entry: name for entry, name in entry_zones.items() if entry not in failed}
    if not subset.isdisjoint(failed):
        subset |= _select(agent, zone, working)
    return subset | _select_displaced(agent, zone, working, subset, zones_out)


def _select_displaced(
    agent: str,
    zone: str,
    entry_zones: Mapping[str, str],
    subset: Collection[str],
    zones_out: Collection[str],
) -> set[str]:
    """Return the entries of ``zones_out`` to add to ``subset``.

    The agents of a zone out of service held `LOCAL_SHARE` of its entries' sessions; the agents of
    the zones in service replace them in equal parts.
    """
    if zone in zones_out:
        return set()
    in_service = set(entry_zones.values()) - set(zones_out)
    places = -(-round(LOCAL_SHARE * SUBSET_SIZE) // max(1, len(in_service)))
    displaced = [
        entry
        for entry in rank_entries(agent, entry_zones)
        if entry_zones[entry] in zones_out and entry not in subset
    ]
    selected = _limit_per_zone(displaced, entry_zones, places)
    return set(selected[: max(0, MAX_SESSIONS - len(subset))])


def _select(agent: str, zone: str, entry_zones: Mapping[str, str]) -> set[str]:
    if len(entry_zones) <= SUBSET_SIZE:
        return set(entry_zones)
    ranked = rank_entries(agent, entry_zones)
    local = [entry for entry in ranked if entry_zones[entry] == zone]
    selected = local[: round(LOCAL_SHARE * SUBSET_SIZE)]
    remote = [entry for entry in ranked if entry_zones[entry] != zone]
    places = SUBSET_SIZE - len(selected)
    # Rounded up, so that the places suffice if the number of zones doesn't divide them.
    zone_places = -(-places // max(1, len({entry_zones[entry] for entry in remote})))
    selected += _limit_per_zone(remote, entry_zones, zone_places)[:places]
    # Zones with few entries leave places free.
    rest = [entry for entry in ranked if entry not in selected]
    return {*selected, *rest[: SUBSET_SIZE - len(selected)]}


def rank_entries(agent: str, entries: Iterable[str]) -> list[str]:
    """Return ``entries`` in the order in which ``agent`` prefers them, by rendezvous hashing."""
    return sorted(entries, key=lambda entry: _weigh(agent, entry), reverse=True)


def _weigh(agent: str, entry: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{agent}\0{entry}".encode()))


def _limit_per_zone(ranked: Sequence[str], zones: Mapping[str, str], limit: int) -> list[str]:
    """Return the entries of ``ranked`` without those beyond the first ``limit`` of their zone."""
    counts: dict[str, int] = {}
    kept = []
    for entry in ranked:
        counts[zones[entry]] = counts.get(zones[entry], 0) + 1
        if counts[zones[entry]] <= limit:
            kept.append(entry)
    return kept


def find_surplus(
    connected: Collection[str],
    subset: Collection[str],
    responsive: Collection[str],
    wide: Collection[str] = (),
) -> list[str]:
    """Return the connected entries whose sessions should be closed because the subset has changed.

    ``wide`` holds the entries beyond ``subset`` that are selected as well (`reach`). They don't
    count as substitutes of the subset.

    Entries outside ``subset`` are kept until as many of the subset are ``responsive`` as it has
    places, so that the agent isn't left without an entry while several fail; beyond `MAX_SESSIONS`
    they are closed in any case.
    """
    outside = sorted(entry for entry in connected if entry not in {*subset, *wide})
    working = sum(entry in responsive for entry in subset)
    if working >= min(SUBSET_SIZE, len(subset)):
        return outside
    return outside[: max(0, len(connected) - MAX_SESSIONS)]
