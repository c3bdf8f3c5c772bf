import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {parseDeclarations} from '@siskinmux/declarations';
import {LocalCluster} from '@siskinmux/demo';
import {COMMANDS, ExitCode, VERSION, runCommandLine} from '../src/index.js';

async function run(
  ...words: string[]
): Promise<{code: ExitCode; out: string; err: string}> {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCommandLine(words, {
    writeLine: text => out.push(text),
    writeError: text => err.push(text),
  });
  return {code, out: out.join('\n'), err: err.join('\n')};
}

const DECLARATIONS = `
[models.offers]
versions = ["v1"]
current_version = "v1"
memory_gib = 8
replicas = {a = 1}

[endpoints.engine]
kind = "engine"
url = "http://127.0.0.1:1"
host = "h"
failure_domain = "a"
memory_gib = 16
checks_fencing = true
`;

function createDeclarationFolder(text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'declarations-'));
  writeFileSync(join(folder, 'all.toml'), text);
  return folder;
}

describe('siskinmux check --gateway', () => {
  it('accepts the example settings and names an unknown key in invalid ones', async () => {
    const example = 'examples/settings/gateway.toml';
    const accepted = await run('check', '--gateway', example);
    expect(accepted.code).toEqual(ExitCode.Success);
    const folder = mkdtempSync(join(tmpdir(), 'settings-'));
    const file = join(folder, 'gateway.toml');
    const text = readFileSync(example, 'utf8');
    writeFileSync(file, text.replace('link_megabits', 'link_megabit'));
    const rejected = await run('check', '--gateway', file);
    expect(rejected.code).toEqual(ExitCode.Invalid);
    expect(rejected.err).toInclude('link_megabit');
  });
});

describe('siskinmux command line', () => {
  it('prints help for all commands, for a group and for each command, with examples', async () => {
    const overall = await run('help');
    expect(overall.code).toEqual(ExitCode.Success);
    for (const {name} of COMMANDS) {
      expect(overall.out).toInclude(name);
      const help = await run(...name.split(' '), '--help');
      expect(help.code).toEqual(ExitCode.Success);
      expect(help.out).toInclude('Examples:');
    }
    expect((await run('config', '--help')).out).toInclude('config plan');
  });

  it('rejects unknown commands, unknown options and missing arguments as usage errors', async () => {
    const unknown = await run('frobnicate');
    expect(unknown.code).toEqual(ExitCode.Usage);
    expect(unknown.err).toInclude('frobnicate');
    expect((await run('status', '--colour')).code).toEqual(ExitCode.Usage);
    expect((await run('config', 'plan')).code).toEqual(ExitCode.Usage);
    expect((await run('check')).code).toEqual(ExitCode.Usage);
    expect((await run('config')).code).toEqual(ExitCode.Usage);
  });

  it('reports the version of the root package.json', async () => {
    const root = JSON.parse(readFileSync('package.json', 'utf8'));
    expect(VERSION).toEqual(root.version);
    expect((await run('version')).out).toInclude(VERSION);
  });

  it('validates declarations without a node and names the file and path of a fault', async () => {
    const valid = await run(
      'check',
      '--declarations',
      createDeclarationFolder(DECLARATIONS),
    );
    expect(valid.code).toEqual(ExitCode.Success);
    const invalid = createDeclarationFolder(
      DECLARATIONS.replace('= 8', '= 99'),
    );
    const result = await run('check', '--declarations', invalid);
    expect(result.code).toEqual(ExitCode.Invalid);
    expect(result.err).toInclude('models.offers.replicas.a');
    expect(result.err).toInclude('all.toml');
  });

  it('validates settings without a node and names the invalid key or section', async () => {
    const file = 'examples/settings/node-1.toml';
    expect((await run('check', '--settings', file)).code).toEqual(
      ExitCode.Success,
    );
    const text = readFileSync(file, 'utf8');
    const expectations: [string, string, string][] = [
      ['port = 17001', 'port = "17001"', 'caller.port'],
      ['level = "info"', 'level = "info"\ncolour = 1', 'log'],
      ['address = "127.0.0.1"', 'address = "localhost"', 'caller.address'],
      ['[log]', '[logs]', 'logs'],
      ['host = "entry-1"\n', '', 'node.host'],
      ['notice_milliseconds = 1000', 'notice_seconds = 1', 'shutdown'],
      [
        '[peer]\naddress = "127.0.0.1"',
        '[peer]\naddress = "10.0.0.1"',
        'peer.tls',
      ],
    ];
    for (const [from, to, expectedInError] of expectations) {
      const folder = createDeclarationFolder('');
      const invalidFile = join(folder, 'node.toml');
      writeFileSync(invalidFile, text.replace(from, to));
      const result = await run('check', '--settings', invalidFile);
      expect(result.code).toEqual(ExitCode.Invalid);
      expect(result.err).toInclude(expectedInError);
    }
  });

  it('exits with the code for an unreachable node when the connection is refused', async () => {
    const result = await run('status', '--node', 'http://127.0.0.1:1');
    expect(result.code).toEqual(ExitCode.Unreachable);
  });
});

describe('operator commands against a running node', () => {
  it('apply a plan once despite a retry, reject a stale plan, and roll back to an older configuration under a new number', async () => {
    const cluster = await LocalCluster.start({
      clock: systemClock,
      random: systemRandom,
      declarations: parseDeclarations([{name: 'all', text: DECLARATIONS}]),
      nodes: ['a'],
    });
    const node = ['--node', cluster.node(0).operatorUrl];
    const folder = createDeclarationFolder(DECLARATIONS);
    const plan = join(folder, 'plan.json');
    const stale = join(folder, 'stale.json');
    const reason = ['--reason', 'test', '--author', 'me'];
    try {
      const planned = await run(
        'config',
        'plan',
        folder,
        '--out',
        plan,
        ...node,
      );
      expect(planned.out).toInclude('+ add models.offers');
      await run('config', 'plan', folder, '--out', stale, ...node);

      const applied = await run('config', 'apply', plan, ...reason, ...node);
      expect(applied.code).toEqual(ExitCode.Success);
      expect(applied.out).toInclude('number 1');
      const repeated = await run('config', 'apply', plan, ...reason, ...node);
      expect(repeated.out).toInclude('number 1');

      const refused = await run('config', 'apply', stale, ...reason, ...node);
      expect(refused.code).toEqual(ExitCode.Conflict);
      expect(refused.err).toInclude('Others changed meanwhile:');

      const smaller = createDeclarationFolder(
        DECLARATIONS.replace('{a = 1}', '{a = 0}'),
      );
      const second = await run(
        'config',
        'plan',
        smaller,
        '--out',
        plan,
        ...node,
      );
      expect(second.out).toInclude('replicas from {"a":1} to {"a":0}');
      await run('config', 'apply', plan, ...reason, ...node);

      const history = await run('config', 'history', ...node);
      expect(history.out).toInclude('me');
      const rolledBack = await run(
        'config',
        'rollback',
        '1',
        ...reason,
        ...node,
      );
      expect(rolledBack.out).toInclude('number 3');
      const diff = await run('config', 'diff', '1', '3', ...node);
      expect(diff.out).toInclude('Nothing changed.');
      const shown = await run('config', 'show', '--json', ...node);
      expect(JSON.parse(shown.out).number).toEqual(3);
      const status = await run('status', ...node);
      expect(status.out).toInclude('Configuration 3 is active.');
      expect(status.out).toInclude('No model is loaded.');
    } finally {
      await cluster.stop();
    }
  });
});
