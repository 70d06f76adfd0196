"""The gateway's connections to clients, backends and discovery. Routing decisions are made elsewhere."""
