#!/bin/sh
# TROUBLE=0: without the disruption. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib exec timeout -k 5 115 python3 case.py
