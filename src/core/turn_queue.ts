/**
 * Runs work that can wait in turns of the event loop, for a limited time in
 * each, so that sockets and timers are served between them.
 */
export type TurnQueue = (work: () => void) => void;

export function createTurnQueue(maxMsPerTurn: number): TurnQueue {
  let waiting: (() => void)[] = [];
  let isScheduled = false;
  return (work) => {
    waiting.push(work);
    schedule();
  };

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(runTurn);
  }

  function runTurn(): void {
    isScheduled = false;
    const endAtMs = performance.now() + maxMsPerTurn;
    const works = waiting;
    waiting = [];
    let index = 0;
    while (index < works.length && performance.now() < endAtMs) {
      works[index++]!();
    }
    if (index < works.length) waiting = [...works.slice(index), ...waiting];
    if (waiting.length > 0) schedule();
  }
}
