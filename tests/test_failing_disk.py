"""A gateway whose store's disk fails for a while, and which is killed and restarted under load."""

from rigs.store_kill import kill


def test_purges_received_while_the_disk_failed_survive_kills():
    """A gateway whose store was empty because the disk had failed read the change log only from the event of
    its configuration on, and so missed the purges before that event."""
    report = kill(times=12, rate=200.0, seed=51, disk_fails_for=2.0)
    assert report["purges"] and report["counts"]["done"] > 100
    assert report["forgotten_purges"] == 0 and report["doubled"] == 0 and report["faults"] == 0, report
