/** Bundles the daemon of the users' platform into one file. */
export default {
  input: "platform/main.ts",
  platform: "node",
  output: {
    file: "target/apricotyoked.mjs",
    format: "esm",
    minify: false,
    codeSplitting: false,
  },
};
