#!/bin/sh
# Checks what the scripts of the third review need: Python 3 with its standard library, for the
# stand-ins in standin_3.py and the case.py of each folder. Nothing is compiled into the repository.
cd "$(dirname "$0")" || exit 1
python3 - standin_3.py 1[1-5]/case.py <<'CHECK'
import sys
import asyncio, base64, json, socket, tempfile
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
