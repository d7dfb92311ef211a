"""Measures what pipitshed costs by the size of the fleet, keeps the results as JSON in docs/capacity, and
renders the tables of docs/CAPACITY.md from them. A slope is one set of measurements over several sizes.

    python -m benchmarks.capacity --measure SLOPE[,SLOPE] [--sizes ...] [--limit-s N]
    python -m benchmarks.capacity --page | --check | --plot

`slopes` lists the measuring modules, `records` defines the stored runs and rows, `fits` fits lines through
rows, `requirements` holds the required load and the budgets, `tables` and `page` render the page.
"""
