"""The gateway on sockets: it carries what the decision module decides, and decides nothing."""
