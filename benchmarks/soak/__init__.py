"""A seeded soak of the live program between stand-ins; rules are judged from the stand-ins' records alone.

python -m benchmarks.soak --seeds 1-50 --report DIR
python -m benchmarks.soak --seeds 7          # one play again
"""
