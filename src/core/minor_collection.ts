/**
 * Collects the buffers of sockets early. Node.js allocates a buffer for each
 * read and another one for each piece of a body, and collects them only after
 * 32 MB, which is a large part of the memory of a small machine.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

type Collect = (options: { readonly type: "minor" }) => void;

/** A collection of young objects takes about a millisecond. */
const intervalBytes = 4 * 1024 * 1024;

/** Returns a function to which the bytes of each read are reported. */
export function createMinorCollector(): (bytes: number) => void {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as Collect;
  let readBytes = 0;
  return (bytes) => {
    readBytes += bytes;
    if (readBytes < intervalBytes) return;
    readBytes = 0;
    collect({ type: "minor" });
  };
}
