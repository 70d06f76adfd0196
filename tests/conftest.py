"""Registers the plugin that reads KNOWN-RED.txt, and defines the fixtures that several test files share."""

import threading

import pytest

from lilacloft.net.connection import Connection
from lilacloft.net.discovery_watch import DiscoveryWatch
from rigs.inprocess import InProcessWorld
from rigs.stands import World, made

pytest_plugins = ["rigs.red"]


@pytest.fixture(autouse=True)
def no_watch_connects_after_its_test(monkeypatch):
    """The thread of a watch outlives its test; its connection attempts would disturb later tests that count
    refused connections."""
    watches, start = [], DiscoveryWatch.start

    def recorded(watch):
        watches.append(watch)
        start(watch)

    monkeypatch.setattr(DiscoveryWatch, "start", recorded)
    yield
    for watch in watches:
        watch._follow = threading.Event().wait


@pytest.fixture
def in_process(tmp_path):
    """Creates worlds whose gateway runs in this process."""
    yield from made(InProcessWorld, tmp_path)


@pytest.fixture
def world(tmp_path):
    """Creates worlds whose gateway is a separate process."""
    yield from made(World, tmp_path)


@pytest.fixture
def late(monkeypatch):
    """Connections to caches are not made until the test sets the event; `begun` counts the attempts."""
    comes, begun, connect = threading.Event(), threading.Semaphore(0), Connection._connect

    def held(self):
        begun.release()
        assert comes.wait(10)
        connect(self)

    monkeypatch.setattr(Connection, "_connect", held)
    comes.begun = begun
    yield comes
    comes.set()
