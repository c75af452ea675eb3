/**
 * Repetitions of a request have the same digest, other requests another one.
 */
import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { getRequestDigest } from "./request_digest.ts";

const service = {
  name: "bookings",
  healthPath: "/healthz",
  maxConnections: 1,
  engine: null,
};
const request = {
  caller: { method: "POST", path: "/book/1?when=2" },
  service,
  customerId: "clinic",
  body: Buffer.from("body"),
};

test("repetitions have the same digest, whatever their headers", () => {
  const repeated = { ...request, body: Buffer.from("body") };
  expect(getRequestDigest(repeated)).toBe(getRequestDigest(request));
});

test("requests that differ in one property have different digests", () => {
  const { caller } = request;
  const digests = [
    request,
    { ...request, caller: { ...caller, method: "PUT" } },
    { ...request, caller: { ...caller, path: "/book/2?when=2" } },
    { ...request, service: { ...service, name: "other" } },
    { ...request, customerId: "other" },
    { ...request, customerId: undefined },
    { ...request, customerId: "null" },
    { ...request, body: Buffer.alloc(0) },
    { ...request, body: Buffer.from("body ") },
  ].map(getRequestDigest);
  expect(new Set(digests).size).toBe(digests.length);
});

test("a digest is not the id of a prompt part that a caller can send", () => {
  expect(getRequestDigest(request)).toMatch(/^request:[\w-]{43}$/);
});
