"""The suite's own plugin: what KNOWN-RED.txt lists."""

pytest_plugins = ["rigs.red"]
