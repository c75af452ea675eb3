/**
 * Codec of the frames between instances: a 4-byte big-endian length followed by
 * a CBOR value. The highest bit of the length marks a body that is compressed
 * (raw deflate). Earlier builds reject such frames, so they are sent only to
 * receivers that announced that they accept them.
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { createError, ErrorKind, getErrorMessage } from "../core/errors.ts";
import type { SystemError } from "../core/errors.ts";

/** Larger frames are rejected, which bounds the buffer of a connection. */
export const maxFrameBytes = 4 * 1024 * 1024;
const headerBytes = 4;
const compressedFlag = 0x8000_0000;
/** Smaller bodies fit into a few packets and are not worth the time. */
const minCompressedBytes = 8 * 1024;
/** Repeated field names make up most of a body, so low effort suffices. */
const compressionLevel = 1;

/**
 * First frame on a connection in either direction. Earlier builds ignore it: no
 * call has this id.
 */
export const helloFrame = { callId: 0, acceptsCompressedFrames: true } as const;

export function isHello(value: unknown): boolean {
  const hello = value as Partial<typeof helloFrame> | null;
  return hello?.callId === helloFrame.callId &&
    hello.acceptsCompressedFrames === true;
}

export interface FrameOptions {
  /** The receiver accepts compressed frames. */
  readonly mayCompress: boolean;
}

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

export function encodeFrame(
  value: unknown,
  { mayCompress }: FrameOptions = { mayCompress: false },
): Result<Buffer, SystemError> {
  const body = encoder.encode(value);
  if (body.length > maxFrameBytes) {
    return err(createError(
      ErrorKind.PayloadTooLarge,
      `frame of ${body.length} bytes exceeds the limit of ${maxFrameBytes}`,
    ));
  }
  if (!mayCompress || body.length < minCompressedBytes) {
    return ok(buildFrame(body, 0));
  }
  const compressed = deflateRawSync(body, { level: compressionLevel });
  return ok(
    compressed.length < body.length
      ? buildFrame(compressed, compressedFlag)
      : buildFrame(body, 0),
  );
}

function buildFrame(body: Buffer, flag: number): Buffer {
  const frame = Buffer.allocUnsafe(headerBytes + body.length);
  frame.writeUInt32BE(body.length + flag, 0);
  frame.set(body, headerBytes);
  return frame;
}

export interface FrameDecoder {
  /** Adds received bytes and returns the completed values in order. */
  push(chunk: Buffer): Result<unknown[], SystemError>;
}

export function createFrameDecoder(): FrameDecoder {
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  return { push };

  function push(chunk: Buffer): Result<unknown[], SystemError> {
    chunks.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes < headerBytes) return ok([]);
    if (chunks[0]!.length < headerBytes) chunks = [Buffer.concat(chunks)];
    const { bodyBytes } = readHeader(chunks[0]!, 0);
    if (bufferedBytes < headerBytes + bodyBytes) {
      return checkLength(bodyBytes).map(() => []);
    }
    return decodeAll(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
  }

  function decodeAll(buffer: Buffer): Result<unknown[], SystemError> {
    const values: unknown[] = [];
    let offset = 0;
    while (buffer.length - offset >= headerBytes) {
      const { bodyBytes, isCompressed } = readHeader(buffer, offset);
      const checked = checkLength(bodyBytes);
      if (checked.isErr()) return err(checked.error);
      const start = offset + headerBytes;
      if (buffer.length - start < bodyBytes) break;
      const body = buffer.subarray(start, start + bodyBytes);
      try {
        values.push(encoder.decode(isCompressed ? inflateBody(body) : body));
      } catch (cause) {
        return err(createError(
          ErrorKind.ProtocolError,
          `frame body is not valid CBOR: ${getErrorMessage(cause)}`,
        ));
      }
      offset = start + bodyBytes;
    }
    const rest = buffer.subarray(offset);
    chunks = rest.length > 0 ? [rest] : [];
    bufferedBytes = rest.length;
    return ok(values);
  }
}

function readHeader(
  buffer: Buffer,
  offset: number,
): { readonly bodyBytes: number; readonly isCompressed: boolean } {
  const header = buffer.readUInt32BE(offset);
  const isCompressed = header >= compressedFlag;
  return {
    bodyBytes: isCompressed ? header - compressedFlag : header,
    isCompressed,
  };
}

/** Throws if the body inflates to more than an uncompressed frame may have. */
function inflateBody(body: Buffer): Buffer {
  return inflateRawSync(body, { maxOutputLength: maxFrameBytes });
}

function checkLength(bodyBytes: number): Result<void, SystemError> {
  if (bodyBytes <= maxFrameBytes) return ok(undefined);
  return err(createError(
    ErrorKind.ProtocolError,
    `frame of ${bodyBytes} bytes exceeds the limit of ${maxFrameBytes}`,
  ));
}
