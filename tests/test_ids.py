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


def test_scoped_ticket_maps_to_the_partition_it_names() -> None:
    """Guards against a ticket being hashed to a partition whose leader did not issue it."""
    ticket = Ticket(Partition(7), Epoch(3), 1000, "00112233aabbccdd")
    assert partition_of(scope_key(TeamName("annex"), str(ticket)), 64) == 7
    assert Ticket.parse(str(ticket)) == ticket


def test_digest_differs_for_payloads_with_equal_concatenation() -> None:
    """Guards against another payload accepted for a key because the joined bytes are equal."""
    service = ServiceName("book")
    assert digest_of(service, [b"ab", b"c"]) != digest_of(service, [b"a", b"bc"])
    assert isinstance(digest_of(service, []), str)
    assert digest_of(service, []) != Digest("")
