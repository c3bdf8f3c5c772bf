/** Operators' commands for teams and their keys. */

import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {emptyDeclarations} from '@siskinmux/declarations';
import {LocalCluster} from '@siskinmux/demo';
import {digestApiKey} from '@siskinmux/routes';
import {ExitCode, runCommandLine} from '../src/index.js';
import {readToEnd} from '../src/read_input.js';

const KEY = 'mytdqf5swkcup4umfwwq';
const OTHER_KEY = '3bpepuuv3kic7bv9asmt';

/** Digest of {@link KEY}, calculated with another program. */
const DIGEST = 'gIN3joqXReAQwvZQHJXQCjdqYXBKegwts5gUq6wpGtw';

interface Result {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

async function runWithInput(input: string, words: string[]): Promise<Result> {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCommandLine(
    words,
    {
      writeLine: text => out.push(text),
      writeError: text => err.push(text),
    },
    limitBytes => readToEnd(Readable.from([Buffer.from(input)]), limitBytes),
  );
  return {code, out: out.join('\n'), err: err.join('\n')};
}

const run = (...words: string[]): Promise<Result> => runWithInput('', words);

function createFolder(text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'teams-'));
  writeFileSync(join(folder, 'teams.toml'), text);
  return folder;
}

function team(name: string, keys: string[], rest = ''): string {
  const digests = JSON.stringify(keys.map(digestApiKey));
  return `[teams.${name}]\nkey_digests = ${digests}\n${rest}\n`;
}

describe('siskinmux keys digest', () => {
  it('prints the digest of the key on standard input, with or without a line break', async () => {
    for (const input of [KEY, `${KEY}\n`, `${KEY}\r\n`]) {
      const result = await runWithInput(input, ['keys', 'digest']);
      expect(result).toEqual({code: ExitCode.Success, out: DIGEST, err: ''});
    }
    const json = await runWithInput(KEY, ['keys', 'digest', '--json']);
    expect(JSON.parse(json.out)).toEqual({digest: DIGEST});
    expect(digestApiKey(KEY) as string).toEqual(DIGEST);
  });

  // Such a key would be declared, and every request with it be refused.
  it('rejects what callers can not send as a key, without quoting it', async () => {
    const rejected = [
      '',
      '\n',
      `${KEY}\n\n`,
      `${KEY}\n${KEY}`,
      ` ${KEY}`,
      `${KEY} `,
      `${KEY}\t`,
      `${KEY}é`,
      KEY.repeat(300),
    ];
    for (const input of rejected) {
      const result = await runWithInput(input, ['keys', 'digest']);
      expect(result.code).toEqual(ExitCode.Usage);
      expect(result.out).toEqual('');
      expect(result.err).toInclude('standard input');
      expect(result.err).not.toInclude(KEY);
    }
  });

  it('takes no key as an argument', async () => {
    const result = await run('keys', 'digest', KEY);
    expect(result.code).toEqual(ExitCode.Usage);
    expect(result.err).not.toInclude(KEY);
  });
});

describe('siskinmux check of teams', () => {
  it('warns of quotas, which nodes do not enforce, and names at most eight teams', async () => {
    const quota = 'quota = {per_second = 5, burst = 5}';
    const text = [
      team('aaa', [KEY]),
      ...Array.from({length: 10}, (_, index) => team(`t${index}`, [], quota)),
    ].join('');
    const folder = createFolder(text);
    const result = await run('check', '--declarations', folder);
    expect(result.code).toEqual(ExitCode.Success);
    expect(result.out).toInclude('11 teams');
    expect(result.err).toEqual(
      'Warning: nodes do not enforce the quotas of teams: t0, t1, t2, t3, t4, t5, t6, t7 and 2 more.',
    );
    const json = await run('check', '--declarations', folder, '--json');
    expect(JSON.parse(json.out).declarations.teams).toEqual(11);
    expect(json.err).toInclude('Warning');
  });

  it('does not warn of teams without quotas', async () => {
    const folder = createFolder(team('aaa', [KEY]));
    const result = await run('check', '--declarations', folder);
    expect([result.code, result.err]).toEqual([ExitCode.Success, '']);
  });

  it('rejects a key in place of its digest, without quoting it', async () => {
    const folder = createFolder(`[teams.aaa]\nkey_digests = ["${KEY}"]\n`);
    const result = await run('check', '--declarations', folder);
    expect(result.code).toEqual(ExitCode.Invalid);
    expect(result.err).toInclude('teams.toml:2: teams.aaa.key_digests.0');
    expect(result.err).not.toInclude(KEY);
  });
});

describe('changes of teams at a running node', () => {
  it('are planned, applied and rolled back, and print digests only where whole entries are', async () => {
    const cluster = await LocalCluster.start({
      clock: systemClock,
      random: systemRandom,
      declarations: emptyDeclarations(),
      nodes: ['a'],
    });
    const node = ['--node', cluster.node(0).operatorUrl];
    const reason = ['--reason', 'test', '--author', 'me', ...node];
    const statusOf = async (key: string): Promise<number> => {
      const {callerUrl} = cluster.node(0);
      const headers = {'x-api-key': key};
      return (await fetch(`${callerUrl}/v1/models`, {headers})).status;
    };
    const printed: string[] = [];
    const apply = async (text: string): Promise<string> => {
      const folder = createFolder(text);
      const plan = join(folder, 'plan.json');
      const planned = await run(
        'config',
        'plan',
        folder,
        '--out',
        plan,
        ...node,
      );
      const applied = await run('config', 'apply', plan, ...reason);
      expect([planned.code, applied.code]).toEqual([0, 0]);
      printed.push(planned.out, planned.err, applied.out, applied.err);
      return planned.out;
    };
    try {
      expect(await statusOf(KEY)).toEqual(200);
      const first = await apply(team('fizi', [KEY]) + team('kelp', []));
      expect(first).toInclude('+ add teams.fizi {"priority":0,"keys":1}');
      expect([await statusOf(KEY), await statusOf(OTHER_KEY)]).toEqual([
        200, 401,
      ]);

      const second = await apply(team('fizi', [OTHER_KEY], 'priority = 1'));
      expect(second).toInclude(
        '~ change teams.fizi: priority from 0 to 1; 1 keys added, 1 removed',
      );
      expect(second).toInclude('- remove teams.kelp');
      expect([await statusOf(KEY), await statusOf(OTHER_KEY)]).toEqual([
        401, 200,
      ]);

      const rolledBack = await run('config', 'rollback', '1', ...reason);
      expect(rolledBack.out).toInclude('number 3');
      expect([await statusOf(KEY), await statusOf(OTHER_KEY)]).toEqual([
        200, 401,
      ]);
      const diff = await run('config', 'diff', '2', '3', ...node);
      expect(diff.out).toInclude('+ add teams.kelp');
      const history = await run('config', 'history', ...node);
      const status = await run('status', ...node);
      for (const words of [['diff', '2', '3'], ['history']]) {
        const json = await run('config', ...words, '--json', ...node);
        expect(json.out).toInclude('"keys":1');
        printed.push(json.out);
      }
      printed.push(diff.out, history.out, status.out);
      const shown = await run('config', 'show', ...node);
      expect(shown.out).toInclude(digestApiKey(KEY));
      expect(shown.out).not.toInclude(KEY);
      for (const key of [KEY, OTHER_KEY]) {
        expect(printed.join('\n')).not.toInclude(key);
        expect(printed.join('\n')).not.toInclude(digestApiKey(key));
      }
    } finally {
      await cluster.stop();
    }
  });

  // During an upgrade, a command of this version may reach a node of an earlier one.
  it('are planned against a node of a version without teams', async () => {
    const {teams: _teams, ...declarations} = emptyDeclarations();
    const server = createServer((_request, response) =>
      response.end(JSON.stringify({number: 4, declarations})),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const node = ['--node', `http://127.0.0.1:${port}`];
    const folder = createFolder(team('fizi', [KEY]));
    const plan = join(folder, 'plan.json');
    try {
      const planned = await run(
        'config',
        'plan',
        folder,
        '--out',
        plan,
        ...node,
      );
      expect(planned.out).toInclude('+ add teams.fizi');
      const {changes} = JSON.parse(readFileSync(plan, 'utf8'));
      expect(changes[0].after.key_digests).toEqual([digestApiKey(KEY)]);
      const shown = await run('config', 'show', ...node);
      expect(shown.code).toEqual(ExitCode.Success);
    } finally {
      server.close();
    }
  });
});
