/** Bundles the daemon of the users' platform; each role is a chunk. */
export default {
  input: "platform/main.ts",
  platform: "node",
  output: {
    dir: "target",
    entryFileNames: "apricotyoked.mjs",
    chunkFileNames: "chunks/[name].mjs",
    format: "esm",
    minify: true,
  },
};
