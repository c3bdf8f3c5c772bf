/** Generated text in the OpenAI shapes, streamed or whole. */

import {once} from 'node:events';
import type {Clock, RequestId} from '@siskinmux/kernel';
import {Outcome, SiskinmuxError, toRefusal} from '@siskinmux/kernel';
import type {GenerationChunk, GenerationInput} from '@siskinmux/ports';
import type {FastifyReply} from 'fastify';
import {toProblem} from './problem.js';

/** What identifies an answer. */
export interface TextResponseHead {
  readonly id: RequestId;
  readonly model: string;
  readonly input: GenerationInput;
}

/**
 * Streams chunks as server-sent events. A failure before the first chunk is thrown;
 * a later one ends the stream with an `error` event and without `[DONE]`, so that a
 * truncated answer is never taken for a whole one.
 */
export async function writeChunks(
  reply: FastifyReply,
  chunks: AsyncIterable<GenerationChunk>,
  head: TextResponseHead,
  clock: Clock,
): Promise<void> {
  const iterator = chunks[Symbol.asyncIterator]();
  let next = await iterator.next();
  const {raw} = reply;
  reply.hijack();
  raw.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': head.id,
  });
  try {
    for (; !next.done; next = await iterator.next()) {
      const event = JSON.stringify(eventOf(next.value, head));
      if (!raw.write(`data: ${event}\n\n`)) await drained(reply);
    }
    raw.end('data: [DONE]\n\n');
  } catch (failure) {
    if (!(failure instanceof SiskinmuxError)) throw failure;
    const refusal = toRefusal(failure, Outcome.Failed);
    const {problem} = toProblem(refusal, clock.now());
    raw.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
  }
}

/** Collects chunks into one answer; throws when it can't be completed. */
export async function wholeAnswer(
  chunks: AsyncIterable<GenerationChunk>,
  head: TextResponseHead,
): Promise<unknown> {
  let text = '';
  let end: Extract<GenerationChunk, {kind: 'end'}> | undefined;
  for await (const chunk of chunks) {
    if (chunk.kind === 'token') text += chunk.text;
    else end = chunk;
  }
  const isChat = head.input.kind === 'chat';
  const choice = {index: 0, finish_reason: end?.reason ?? 'stop'};
  return {
    id: head.id,
    object: isChat ? 'chat.completion' : 'text_completion',
    model: head.model,
    choices: [
      isChat
        ? {...choice, message: {role: 'assistant', content: text}}
        : {...choice, text},
    ],
    usage: usageOf(end),
  };
}

function eventOf(chunk: GenerationChunk, head: TextResponseHead): unknown {
  const isChat = head.input.kind === 'chat';
  const content = chunk.kind === 'token' ? chunk.text : '';
  return {
    id: head.id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    model: head.model,
    choices: [
      {
        index: 0,
        ...(isChat ? {delta: {content}} : {text: content}),
        finish_reason: chunk.kind === 'end' ? chunk.reason : null,
      },
    ],
    ...(chunk.kind === 'end' && {usage: usageOf(chunk)}),
  };
}

function usageOf(end: Extract<GenerationChunk, {kind: 'end'}> | undefined) {
  const prompt = end?.promptTokens ?? 0;
  const completion = end?.completionTokens ?? 0;
  return {
    prompt_tokens: prompt,
    completion_tokens: completion,
    total_tokens: prompt + completion,
  };
}

/** A slow reader holds back the engine instead of filling this node's memory. */
async function drained(reply: FastifyReply): Promise<void> {
  if (reply.raw.destroyed) return;
  await Promise.race([once(reply.raw, 'drain'), once(reply.raw, 'close')]);
}
