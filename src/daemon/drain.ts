/**
 * Graceful shutdown. The instance reports at once that it is not ready, so that
 * the load balancer stops sending requests to it; requests that still arrive
 * are served for a grace period. The instance then waits until all its answers
 * and requests have finished, and replicates the finished answers.
 */
import type { AnswerService } from "../answers/answer_service_types.ts";
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";

export interface Drain {
  isReady(): boolean;
  isAccepting(): boolean;
  /** Counts an open request until the returned function is called. */
  trackRequest(): () => void;
  /** Resolves when a stop no longer interrupts any answer or request. */
  run(): Promise<void>;
}

export interface DrainOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly answers: AnswerService;
  announceLeaving(): void;
}

/** Time for the load balancer to detect that the instance is not ready. */
const acceptGraceMs = 2_000;
/** Time for owners to replicate answers copied here to other instances. */
const replicationGraceMs = 500;
const pollMs = 50;

export function createDrain(options: DrainOptions): Drain {
  const { clock, logger, answers } = options;
  let isDraining = false;
  let isAccepting = true;
  let openRequests = 0;
  return {
    isReady: () => !isDraining,
    isAccepting: () => isAccepting,
    trackRequest,
    run,
  };

  function trackRequest(): () => void {
    openRequests += 1;
    let isOpen = true;
    return () => {
      if (isOpen) openRequests -= 1;
      isOpen = false;
    };
  }

  async function run(): Promise<void> {
    isDraining = true;
    options.announceLeaving();
    await clock.sleep(acceptGraceMs);
    isAccepting = false;
    let lastLoggedCount = -1;
    while (openRequests > 0 || answers.getOpenCount() > 0) {
      const openAnswers = answers.getOpenCount();
      if (openAnswers !== lastLoggedCount) {
        logger.log(logEvents.drainWaiting, { openAnswers, openRequests });
        lastLoggedCount = openAnswers;
      }
      await clock.sleep(pollMs);
    }
    await answers.replicateFinishedAnswers();
    await clock.sleep(replicationGraceMs);
  }
}
