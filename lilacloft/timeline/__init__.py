"""One timeline of events from the records of many gateways. It does no I/O, and claims no order of events
that the accuracy of the clocks does not support."""
