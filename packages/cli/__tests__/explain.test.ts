import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ExitCode, runCommandLine} from '../src/index.js';
import {parseLogLine} from '../src/explain/log_line.js';

let sequence = 0;

function line(
  time: number,
  node: string,
  message: string,
  fields: Record<string, unknown>,
): string {
  sequence += 1;
  const context = {node, event: 7000 + sequence, logLevel: 30, ...fields};
  return JSON.stringify({context, message, time, version: '2.0.0'});
}

const REFUSED = [
  line(1_000, 'a-1-x', 'change-planned', {
    engine: 'e1',
    load: 'other',
    tier: 'disk',
  }),
  line(1_010, 'a-1-x', 'change-planned', {
    engine: 'e2',
    load: 'rare',
    tier: 'store',
  }),
  line(1_030, 'b-1-y', 'request-ended', {
    id: 'r1',
    version: 3,
    model: 'rare',
    result: 'no-endpoint',
    sends: 0,
    milliseconds: 34,
  }),
];

const UNKNOWN = [
  line(2_000, 'b-1-y', 'send-failed', {
    id: 'r2',
    endpoint: 'e3',
    end: 'may_have_run',
    next: 'give up',
  }),
  line(2_001, 'b-1-y', 'request-ended', {
    id: 'r2',
    version: 3,
    result: 'outcome-unknown',
    endpoint: 'e3',
    sends: 1,
    milliseconds: 55,
  }),
];

const LATE = line(3_000, 'b-1-y', 'request-ended', {
  id: 'r3',
  version: 3,
  result: 'served',
  endpoint: 'e1',
  sends: 1,
  sentAfter: 670,
  answeredAfter: 691,
  milliseconds: 1_149,
});

const TURNS = [
  line(4_000, 'b-1-y', 'store-lost', {kind: 'servers', revision: 9}),
  line(4_500, 'a-1-x', 'store-lost', {kind: 'servers', revision: 9}),
  line(6_000, 'b-1-y', 'store-regained', {kind: 'servers', revision: 12}),
];

function logs(...files: (readonly string[])[]): string[] {
  const folder = mkdtempSync(join(tmpdir(), 'logs-'));
  return files.map((lines, index) => {
    const file = join(folder, `node-${index}.log`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    return file;
  });
}

async function explain(...words: string[]) {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCommandLine(['explain', ...words], {
    writeLine: text => out.push(text),
    writeError: text => err.push(text),
  });
  return {code, out, err: err.join('\n')};
}

describe('siskinmux explain', () => {
  it('tells why a request was refused, with what was done about its model', async () => {
    // Lines of several nodes, not in order, with other text between them.
    const files = logs(
      ['starting', REFUSED[2] ?? '', '{"cut'],
      REFUSED.slice(0, 2).map(text => `   0.1 a-1 ${text}`),
    );
    const {code, out} = await explain('--request', 'r1', ...files);
    expect(code).toEqual(ExitCode.Success);
    expect(out.length).toEqual(3);
    expect(out[0] ?? '').toInclude('load=rare');
    expect(out[1] ?? '').toInclude('+20 ms');
    expect(out[2] ?? '').toInclude('not run: no engine could have rare ready');
  });

  it('tells of an unknown outcome and of a late answer', async () => {
    const files = logs([...UNKNOWN, LATE]);
    const unknown = await explain('--request', 'r2', ...files);
    expect(unknown.out.at(-1) ?? '').toInclude('unknown outcome: e3 had it');
    const late = await explain('--request', 'r3', ...files);
    expect(late.out.at(-1) ?? '').toInclude('waited 670 ms here');
  });

  it('tells what one node lost and regained', async () => {
    const files = logs(TURNS);
    const {out} = await explain('--node', 'b-1', ...files);
    expect(out.map(text => text.split('  ')[2])).toEqual([
      'store-lost',
      'store-regained',
    ]);
  });

  it('says so when nothing is known, asked wrongly, or not readable', async () => {
    const files = logs([LATE]);
    const missing = await explain('--request', 'nobody', ...files);
    expect(missing.code).toEqual(ExitCode.Failure);
    expect((await explain('--request', 'r3')).code).toEqual(ExitCode.Usage);
    expect((await explain(...files)).code).toEqual(ExitCode.Usage);
    const unreadable = await explain('--request', 'r3', `${files[0]}.gone`);
    expect(unreadable.err).toInclude("can't be read as a log");
  });

  it('passes over any text that is not a line of the log', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        expect(parseLogLine(text)).toEqual(undefined);
      }),
      {seed: 1, numRuns: 500},
    );
  });
});
