"""The protocol between daemons: gRPC with msgpack messages."""
