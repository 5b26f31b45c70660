/** @file client_library.test.mjs An unmodified chat/completions library, told only base URL and key. */
import assert from "node:assert/strict";
import { execFile, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { after, afterEach, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

import OpenAI from "openai";

const SYSTEM = fileURLToPath(new URL("client_system.py", import.meta.url));
const ANSWER_TOKENS = 6;
/** The declaration's max_prompt_tokens is 1,000,000; at four bytes a token this is past it. */
const TOO_LONG_BYTES = 4_800_000;
const WAIT_LIMIT_MS = 20_000;
const POLL_MS = 50;

let folder;
let system;
let endpoints;

before(async () => {
  folder = await mkdtemp(join(tmpdir(), "pollenstall-client-"));
  system = spawn(SYSTEM, [folder], { stdio: ["pipe", "pipe", "inherit"] });
  const [line] = await Promise.race([
    once(createInterface({ input: system.stdout }), "line"),
    once(system, "exit").then(([code]) => Promise.reject(new Error(`the system ended with ${code}`))),
  ]);
  endpoints = JSON.parse(line);
});

after(async () => {
  if (system.exitCode === null) {
    system.stdin.end();
    await once(system, "exit");
  }
  assert.equal(system.exitCode, 0, `a process ended badly; logs are in ${folder}`);
  await rm(folder, { recursive: true });
});

/** A client as a caller makes it; options stand for what a test changes besides. */
function clientOf(entry, options = {}) {
  return new OpenAI({ baseURL: `${entry.url}/v1`, apiKey: endpoints.key, ...options });
}

function chat(prompt, options = {}) {
  return {
    model: endpoints.model,
    max_tokens: ANSWER_TOKENS,
    messages: [{ role: "user", content: prompt }],
    ...options,
  };
}

async function failureOf(call) {
  try {
    await call;
  } catch (error) {
    return error;
  }
  return assert.fail("the call did not fail");
}

function engines() {
  return endpoints.backends.filter((backend) => backend.kind === "model");
}

/** Starts of attempts over all engines. */
async function engineStarts() {
  let count = 0;
  for (const engine of engines()) {
    const stats = await (await fetch(`${engine.url}/stats`)).json();
    count += Object.values(stats.starts_by_attempt).reduce((sum, starts) => sum + starts, 0);
  }
  return count;
}

async function setFaults(plan) {
  for (const engine of engines()) {
    const answer = await fetch(`${engine.url}/faults`, { method: "POST", body: JSON.stringify(plan) });
    assert.equal(answer.status, 200, await answer.text());
  }
}

async function operate(...words) {
  const [program, ...options] = endpoints.ctl.split(" ");
  await promisify(execFile)(program, [...options, ...words]);
}

/** Why the entry refuses a call now, or nothing where it answers. */
async function refusalOf(entry) {
  try {
    await clientOf(entry, { maxRetries: 0 }).chat.completions.create(chat("x", { max_tokens: 1 }));
  } catch (error) {
    return error.code;
  }
  return undefined;
}

/** Calls that the entry has answered with "no_backend". */
async function refusals(entry) {
  const text = await (await fetch(`${entry.operator_url}/metrics`)).text();
  const line = text.split("\n").find((one) => one.startsWith("pollenstall_requests_total") && one.includes("no_backend"));
  return line ? Number(line.split(" ").at(-1)) : 0;
}

async function waitFor(condition) {
  const end = Date.now() + WAIT_LIMIT_MS;
  while (!(await condition())) {
    assert.ok(Date.now() < end, `waited in vain for ${condition}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

describe("a client library that is told base URL and key", () => {
  describe("asks what there is", () => {
    it("lists the declared models", async () => {
      const ids = [];
      for await (const model of clientOf(endpoints.entries[0]).models.list()) ids.push(model.id);
      assert.deepEqual(ids, [endpoints.model]);
    });

    it("retrieves one model", async () => {
      const model = await clientOf(endpoints.entries[0]).models.retrieve(endpoints.model);
      assert.equal(model.id, endpoints.model);
      assert.equal(model.object, "model");
    });
  });

  describe("asks for a chat completion", () => {
    it("gets it whole, with its usage", async () => {
      const answer = await clientOf(endpoints.entries[0]).chat.completions.create(chat("A notice, please."));
      assert.equal(answer.object, "chat.completion");
      assert.equal(answer.choices[0].message.role, "assistant");
      assert.ok(answer.choices[0].message.content.length > 0);
      assert.ok(answer.choices[0].finish_reason);
      assert.equal(answer.usage.completion_tokens, ANSWER_TOKENS);
      assert.ok(answer.usage.prompt_tokens > 0);
    });

    it("gets it without naming a limit for the answer", async () => {
      const client = clientOf(endpoints.entries[0], { maxRetries: 0 });
      const answer = await client.chat.completions.create(chat("A notice, please.", { max_tokens: undefined }));
      assert.ok(answer.usage.completion_tokens > 0);
    });

    it("gets it streamed: every delta, the finish reason and the usage", async () => {
      const stream = await clientOf(endpoints.entries[0]).chat.completions.create(
        chat("A notice, please.", { stream: true, stream_options: { include_usage: true } }),
      );
      const deltas = [];
      let finish;
      let usage;
      for await (const chunk of stream) {
        const [choice] = chunk.choices;
        if (choice?.delta?.content) deltas.push(choice.delta.content);
        finish = choice?.finish_reason ?? finish;
        usage = chunk.usage ?? usage;
      }
      assert.equal(deltas.length, ANSWER_TOKENS);
      assert.ok(finish);
      assert.equal(usage.completion_tokens, ANSWER_TOKENS);
    });

    it("gets the same text streamed and whole, over either entry", async () => {
      const prompt = "The same words both times.";
      const whole = await clientOf(endpoints.entries[0]).chat.completions.create(chat(prompt));
      const runner = clientOf(endpoints.entries[1]).beta.chat.completions.stream(chat(prompt));
      const streamed = await runner.finalContent();
      assert.equal(streamed, whole.choices[0].message.content);
    });

    it("stops a stream midway and goes on with the next request", async () => {
      const client = clientOf(endpoints.entries[0]);
      const stream = await client.chat.completions.create(chat("Long.", { stream: true, max_tokens: 4_096 }));
      for await (const _ of stream) break;
      const answer = await client.chat.completions.create(chat("After it."));
      assert.equal(answer.usage.completion_tokens, ANSWER_TOKENS);
    });

    it("gets each of many answers at once on one client", async () => {
      const client = clientOf(endpoints.entries[0]);
      const calls = Array.from({ length: 24 }, (_, index) =>
        client.chat.completions.create(chat(`Question ${index}.`, { max_tokens: 1 + (index % 5) })),
      );
      const answers = await Promise.all(calls);
      answers.forEach((answer, index) => assert.equal(answer.usage.completion_tokens, 1 + (index % 5)));
    });
  });

  describe("asks for a completion", () => {
    const request = () => ({ model: endpoints.model, prompt: "Once upon", max_tokens: ANSWER_TOKENS });

    it("gets it whole", async () => {
      const answer = await clientOf(endpoints.entries[0]).completions.create(request());
      assert.equal(answer.object, "text_completion");
      assert.ok(answer.choices[0].text.length > 0);
      assert.equal(answer.usage.completion_tokens, ANSWER_TOKENS);
    });

    it("gets it streamed", async () => {
      const stream = await clientOf(endpoints.entries[0]).completions.create({ ...request(), stream: true });
      let texts = 0;
      for await (const chunk of stream) texts += chunk.choices[0]?.text ? 1 : 0;
      assert.equal(texts, ANSWER_TOKENS);
    });
  });

  describe("makes a mistake", () => {
    const expectNotRun = (error) => {
      assert.equal(error.error.outcome, "not-run");
      assert.equal(new Headers(error.headers).get("x-pollenstall-outcome"), "not-run");
    };

    it("is told of a wrong key as AuthenticationError", async () => {
      const client = clientOf(endpoints.entries[0], { apiKey: "wrong" });
      const error = await failureOf(client.chat.completions.create(chat("x")));
      assert.ok(error instanceof OpenAI.AuthenticationError, String(error));
      assert.equal(error.status, 401);
      assert.equal(error.code, "invalid_api_key");
      expectNotRun(error);
    });

    it("is told of an unknown model as NotFoundError", async () => {
      const call = clientOf(endpoints.entries[0]).chat.completions.create(chat("x", { model: "no-such" }));
      const error = await failureOf(call);
      assert.ok(error instanceof OpenAI.NotFoundError, String(error));
      assert.equal(error.code, "model_not_found");
      assert.equal(error.param, "model");
      expectNotRun(error);
    });

    it("is told of a wrong field as BadRequestError", async () => {
      const call = clientOf(endpoints.entries[0]).chat.completions.create(chat("x", { max_tokens: -1 }));
      const error = await failureOf(call);
      assert.ok(error instanceof OpenAI.BadRequestError, String(error));
      assert.equal(error.param, "max_tokens");
      expectNotRun(error);
    });

    it("is told of a prompt over the limit as BadRequestError, on a client that goes on", async () => {
      const client = clientOf(endpoints.entries[0]);
      const error = await failureOf(client.chat.completions.create(chat("word ".repeat(TOO_LONG_BYTES / 5))));
      assert.ok(error instanceof OpenAI.BadRequestError, String(error));
      assert.equal(error.code, "context_length_exceeded");
      assert.match(error.message, /1000000 tokens/);
      expectNotRun(error);
      const answer = await client.chat.completions.create(chat("After it."));
      assert.equal(answer.usage.completion_tokens, ANSWER_TOKENS);
    });
  });

  describe("meets a failure", () => {
    // A fault strikes one engine; the other keeps it armed.
    afterEach(() => setFaults({ error_next: 0, half_answer_next: 0, cut_after_events: null }));

    // The caller sees one late answer and no error. The only engine of its group is drained, so the
    // entry refuses the call as not run, with Retry-After; the library waits for so long and sends
    // it again by itself, when the engine is back. Nothing ran before, so this is right to repeat.
    it("repeats a call that was not run, after Retry-After", async () => {
      const address = engines()[0].url.replace("http://", "");
      await operate("drain", address);
      await waitFor(async () => (await refusalOf(endpoints.entries[0])) === "no_backend");
      const refused = await refusals(endpoints.entries[0]);
      const call = clientOf(endpoints.entries[0]).chat.completions.create(chat("Once it is back."));
      await waitFor(async () => (await refusals(endpoints.entries[0])) > refused);
      await operate("drain", address, "--undo");
      assert.equal((await call).usage.completion_tokens, ANSWER_TOKENS);
    });

    // The caller sees an error that says "unknown". The engine starts the work and breaks off; the
    // entry may not repeat a call that is marked as non-idempotent, and answers 502. The library
    // repeats a 502 by default, and without a key nothing tells its second send from a new call:
    // the entry has to tell the library not to.
    it("does not repeat a non-idempotent call that may have run", async () => {
      const client = clientOf(endpoints.entries[0], { defaultHeaders: { "X-Pollenstall-Idempotent": "false" } });
      await setFaults({ error_next: 1 });
      const before = await engineStarts();
      const error = await failureOf(client.chat.completions.create(chat("Send the letter.")));
      assert.equal(error.error?.outcome, "unknown", String(error));
      assert.equal((await engineStarts()) - before, 1);
    });

    // The caller sees an error in the midst of its deltas. The engine breaks the stream off and can't
    // resume it; a cut must not look like an end, and what was read must not be read twice.
    it("is told of a broken stream by an error, never by an end", async () => {
      await setFaults({ cut_after_events: 3 });
      const before = await engineStarts();
      const stream = await clientOf(endpoints.entries[0]).chat.completions.create(chat("x", { stream: true }));
      let deltas = 0;
      const error = await failureOf(
        (async () => {
          for await (const chunk of stream) deltas += chunk.choices[0]?.delta?.content ? 1 : 0;
        })(),
      );
      assert.ok(error instanceof OpenAI.APIError, String(error));
      assert.equal(error.error?.outcome, "unknown", String(error));
      assert.ok(deltas < ANSWER_TOKENS, `${deltas} deltas`);
      assert.equal((await engineStarts()) - before, 1);
    });

    // The caller sees an error that says "unknown". The engine breaks a whole answer off in its
    // middle; half a body must not be taken for an answer, and a marked call must not run again.
    // Cut after its head, the library would at times wait for the rest for good.
    it("never takes half an answer for a whole one", async () => {
      const client = clientOf(endpoints.entries[0], { defaultHeaders: { "X-Pollenstall-Idempotent": "false" } });
      await setFaults({ half_answer_next: 1 });
      const before = await engineStarts();
      const error = await failureOf(client.chat.completions.create(chat("Send the letter.")));
      assert.equal(error.status, 502, String(error));
      assert.equal(error.error?.outcome, "unknown", String(error));
      assert.equal((await engineStarts()) - before, 1);
    });

    // The caller sees a conflict. The first send's end is unknown; the caller's own resend carries
    // the same key, goes through the other entry, meets the claim and is not run.
    it("is told of a conflict when it resends a key through another entry", async () => {
      const options = { headers: { "X-Pollenstall-Idempotent": "false", "Idempotency-Key": "letter-7" } };
      await setFaults({ error_next: 1 });
      const before = await engineStarts();
      await failureOf(clientOf(endpoints.entries[0]).chat.completions.create(chat("Send it."), options));
      const error = await failureOf(clientOf(endpoints.entries[1]).chat.completions.create(chat("Send it."), options));
      assert.ok(error instanceof OpenAI.ConflictError, String(error));
      assert.equal(error.code, "already_running");
      assert.equal((await engineStarts()) - before, 1);
    });
  });
});
