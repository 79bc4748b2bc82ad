"""Messages between daemons; the generated modules are committed."""
