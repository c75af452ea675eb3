/**
 * Reads an operator's document that an adapter decodes into a forwarding table,
 * and turns it into a ticket. The operators' API and the configuration check
 * use the same steps.
 */
import type { Result } from "neverthrow";
import { parseJson } from "../core/parse_json.ts";
import type { FieldIssue } from "../core/strict_fields.ts";
import {
  type ForwardingTable,
  forwardingTableName,
} from "../forwarding/forwarding_table.ts";

export interface DecodedTable {
  readonly number: number;
  readonly table: ForwardingTable;
}

export type DecodeTable = (
  value: unknown,
) => Result<DecodedTable, FieldIssue[]>;

export interface TableDocument extends DecodedTable {
  /** The operator's document, which reads return unchanged. */
  readonly source: string;
}

/** A document of this size still fits in one frame between instances. */
export const maxTableDocumentBytes = 4 * 1024 * 1024;

export function readTableDocument(
  source: string,
  decode: DecodeTable,
): Result<TableDocument, FieldIssue[]> {
  return parseJson(source)
    .mapErr((message): FieldIssue[] => [{ path: "", message }])
    .andThen(decode)
    .map((decoded) => ({ ...decoded, source }));
}

/** Returns the content of the ticket, which its receiver still has to check. */
export function createTableTicket({ number, table, source }: TableDocument) {
  return { number, source, forwarding: { [forwardingTableName]: table } };
}
