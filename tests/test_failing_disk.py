"""A gateway whose store's disk fails for a while, killed and started again under load."""

from rigs.store_kill import kill


def test_purges_heard_while_the_disk_failed_are_kept_over_kills():
    """A store that the disk had kept empty began after its configuration, and with it after those purges."""
    report = kill(times=12, rate=200.0, seed=51, disk_fails_for=2.0)
    assert report["purges"] and report["counts"]["done"] > 100
    assert report["forgotten_purges"] == 0 and report["doubled"] == 0 and report["faults"] == 0, report
