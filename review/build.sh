#!/bin/sh
# The stand-ins of the scripts are Python programs and need no build; only their interpreter is
# checked (Python 3.11, as in Debian 12).
exec python3 -c 'import asyncio, tomllib; asyncio.timeout'
