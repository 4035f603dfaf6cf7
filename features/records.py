"""Build records of minions for tests of slots and routing."""

from nutmegshelf import ids, platform

SERVICE = ids.ServiceName("orders")


def make_record(minion, zone="z0", port=1):
    return platform.MinionRecord(
        minion=ids.MinionId(minion),
        service=SERVICE,
        host="127.0.0.1",
        port=port,
        zone=ids.ZoneName(zone),
        rack=ids.RackName("r"),
        worker=ids.WorkerId(f"w-{minion}"),
    )
