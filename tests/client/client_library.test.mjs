/** @file client_library.test.mjs An unmodified chat/completions library, told only base URL and key. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

import OpenAI from "openai";

const SYSTEM = fileURLToPath(new URL("client_system.py", import.meta.url));
const ANSWER_TOKENS = 6;
/** The declaration's max_prompt_tokens is 1,000,000; at four bytes a token this is past it. */
const TOO_LONG_BYTES = 4_800_000;

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
});
