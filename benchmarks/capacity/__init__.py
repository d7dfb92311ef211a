"""What the program costs at the fleet's sizes: slopes measured, kept as JSON, and made into docs/CAPACITY.md.

    python -m benchmarks.capacity --measure SLOPE[,SLOPE] [--sizes ...] [--limit-s N]
    python -m benchmarks.capacity --page | --check | --plot

`records` is the form of a run, `slopes` lists the modules that measure, `fits` makes the lines through rows,
`page` and `tables` make the page.
"""
