"""python -m pipitshed"""

from pipitshed.cli import main

if __name__ == "__main__":
    main()
