"""A job that must not be repeated does not run again when its id comes again."""

from __future__ import annotations

import pytest
from loopback import NON_IDEMPOTENT_BOOK, HttpClient, Planner, Run, async_test, program


@pytest.mark.parametrize("ends", ["client leaves", "job fails", "job is served"])
def test_a_non_idempotent_job_does_not_run_again_under_the_same_id(ends: str) -> None:
    def act(run: Run) -> None:
        run.send_event("started")
        if ends == "job fails":
            run.send_event("failed")
        elif ends == "job is served":
            run.send_event("done", result="plan")

    @async_test
    async def run() -> None:
        async with (
            Planner("p1", act=act) as planner,
            program(planner, settings=NON_IDEMPOTENT_BOOK) as running,
        ):
            client = await HttpClient.to(running.port)
            client.ask("b1", "book", X_Deadline="9.0")
            first = await planner.wait_for(1)
            if ends == "client leaves":
                client.writer.close()
                await first.dropped()
            else:
                await client.answer()
            again = await HttpClient.to(running.port)
            again.ask("b1", "book", X_Deadline="9.0")
            assert (await again.answer())[0] == 409
            assert len(planner.runs) == 1

    run()


def test_an_id_of_a_job_that_never_ran_may_come_again() -> None:
    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, program(settings=NON_IDEMPOTENT_BOOK) as running:
            client = await HttpClient.to(running.port)
            for _ in range(2):
                client.ask("b1", "book", X_Deadline="0.2")
                assert (await client.answer())[0] == 503
            assert not planner.runs

    run()
