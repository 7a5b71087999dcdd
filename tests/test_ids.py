from snipewell.ids import (
    Digest,
    Epoch,
    Partition,
    ServiceName,
    TeamName,
    Ticket,
    digest_of,
    partition_of,
    scope_key,
)


def test_ticket_keeps_its_partition_when_the_key_is_scoped() -> None:
    """Guards against a ticket being hashed to a partition whose home did not issue it."""
    ticket = Ticket(Partition(7), Epoch(3), 1000, "00112233aabbccdd")
    assert partition_of(scope_key(TeamName("annex"), str(ticket)), 64) == 7
    assert Ticket.parse(str(ticket)) == ticket


def test_digest_tells_payloads_apart_that_concatenate_alike() -> None:
    """Guards against one key accepting another payload because only the joined bytes matched."""
    service = ServiceName("book")
    assert digest_of(service, [b"ab", b"c"]) != digest_of(service, [b"a", b"bc"])
    assert isinstance(digest_of(service, []), str)
    assert digest_of(service, []) != Digest("")
