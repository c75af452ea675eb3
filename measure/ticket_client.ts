/**
 * Submits change tickets to instances and reads the configuration in force at
 * an instance.
 */
import type { Cluster, InstanceHandle } from "./launcher.ts";
import { readJson } from "./statistics.ts";

export interface TicketReply {
  readonly status: number;
  readonly revision: number;
  readonly text: string;
}

export interface TicketClient {
  submit(
    instance: InstanceHandle,
    number: number,
    weight: number,
  ): Promise<TicketReply>;
  /** Submits the ticket until some instance replies with a decision. */
  submitUntilDecided(number: number, weight: number): Promise<TicketReply>;
  /**
   * Returns the revision in force, or -1 if the instance does not answer, or
   * refuses callers because it has just started and does not know its
   * configuration yet.
   */
  getRevision(instance: InstanceHandle): Promise<number>;
  /** Returns the weight of the customer that the tickets of this client set. */
  getWeight(instance: InstanceHandle): Promise<number>;
  getLeaderId(instance: InstanceHandle): Promise<string>;
  listRunning(): InstanceHandle[];
}

interface ConfigurationBody {
  readonly configuration: {
    readonly revision: number;
    readonly limits: Readonly<Record<string, { readonly weight: number }>>;
  };
}

const customerId = "bench-a";
const submitTimeoutMs = 5_000;
const retryDelayMs = 100;
const maxAttempts = 100;

export function createTicketClient(cluster: Cluster): TicketClient {
  const headers = { authorization: `Bearer ${cluster.operatorToken}` };
  let next = 0;
  return {
    submit,
    submitUntilDecided,
    getRevision: async ({ callerUrl }) => {
      const { configuration } = await readJson(
        `${callerUrl}/admin/status`,
        { configuration: { revision: -1, isKnown: false } },
        headers,
      );
      return configuration.isKnown ? configuration.revision : -1;
    },
    getWeight: async (instance) =>
      (await readConfiguration(instance)).configuration.limits[customerId]
        ?.weight ?? -1,
    getLeaderId: async ({ callerUrl }) =>
      (await readJson(
        `${callerUrl}/admin/status`,
        { control: { leaderId: "" } },
        headers,
      )).control.leaderId,
    listRunning,
  };

  function listRunning(): InstanceHandle[] {
    return cluster.instances.filter(({ process }) =>
      process.exitCode === null && process.signalCode === null
    );
  }

  async function submit(
    { callerUrl }: InstanceHandle,
    number: number,
    weight: number,
  ): Promise<TicketReply> {
    try {
      const response = await fetch(`${callerUrl}/admin/tickets`, {
        method: "POST",
        headers,
        body: JSON.stringify({ number, limits: { [customerId]: { weight } } }),
        signal: AbortSignal.timeout(submitTimeoutMs),
      });
      const text = await response.text();
      const { revision } = JSON.parse(text) as { revision?: number };
      return { status: response.status, revision: revision ?? -1, text };
    } catch (cause) {
      return { status: 0, revision: -1, text: String(cause) };
    }
  }

  async function submitUntilDecided(
    number: number,
    weight: number,
  ): Promise<TicketReply> {
    let reply: TicketReply = { status: 0, revision: -1, text: "" };
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const live = listRunning();
      reply = await submit(live[next++ % live.length]!, number, weight);
      if (reply.status !== 0 && reply.status < 500) return reply;
      await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
    }
    return reply;
  }

  function readConfiguration(
    { callerUrl }: InstanceHandle,
  ): Promise<ConfigurationBody> {
    return readJson(
      `${callerUrl}/admin/configuration`,
      { configuration: { revision: -1, limits: {} } },
      headers,
    );
  }
}

/** Submits one ticket to the first instance; throws if it is not accepted. */
export async function submitTicket(
  { instances, operatorToken }: Cluster,
  ticket: Readonly<Record<string, unknown>>,
): Promise<void> {
  const response = await fetch(`${instances[0]!.callerUrl}/admin/tickets`, {
    method: "POST",
    headers: { authorization: `Bearer ${operatorToken}` },
    body: JSON.stringify(ticket),
  });
  if (!response.ok) throw new Error(await response.text());
}
