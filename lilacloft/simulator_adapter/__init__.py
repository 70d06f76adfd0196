"""The adapter for the bench's wire: it translates names, units and framing, and decides nothing."""
