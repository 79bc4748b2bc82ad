"""Configuration distribution for a service mesh."""

import os

# Without this grpc writes a line to the standard error for every stream that
# breaks, which the daemon logs itself. It has to precede the import of grpc.
os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')

__version__ = '0.1.0'
