/**
 * Timeouts of things that arrive over sockets.
 *
 * The event loop runs timers before it reads sockets. If it was blocked, or the
 * process got no processor time, a timer may fire although the awaited bytes
 * have arrived and are still in the socket's buffer.
 */

/**
 * Calls back after the delay, and after the sockets that are readable by then
 * have been read. Returns a function that cancels it.
 */
export function setTimeoutAfterReads(
  callback: () => void,
  delayMs: number,
): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}

/** Resolves after the sockets that are readable now have been read. */
export function waitForReads(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
