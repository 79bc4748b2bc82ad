"""The daemon beside one server, in a mesh that finds itself in a store."""
