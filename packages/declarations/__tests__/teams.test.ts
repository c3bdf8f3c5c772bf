import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Change} from '../src/index.js';
import {
  DeclarationError,
  SECTIONS,
  applyChanges,
  declarationsSchema,
  describeChange,
  diffDeclarations,
  emptyDeclarations,
  parseDeclarations,
} from '../src/index.js';

const KEY = 'mytdqf5swkcup4umfwwq';
const DIGEST_A = 'A'.repeat(43);
const DIGEST_B = `${'b'.repeat(42)}Q`;
const DIGEST_C = `${'-_'.repeat(21)}8`;

function parse(text: string) {
  return parseDeclarations([{name: 'teams.toml', text}]);
}

function faultMessage(text: string): string {
  try {
    parse(text);
  } catch (failure) {
    if (failure instanceof DeclarationError) return failure.message;
    throw failure;
  }
  return '';
}

function team(...digests: string[]): string {
  return `[teams.fizi]\nkey_digests = ${JSON.stringify(digests)}\n`;
}

describe('the section teams', () => {
  it('parses digests, priority and quota, with their defaults', () => {
    const {teams} = parse(`
[teams.fizi]
key_digests = ["${DIGEST_A}", "${DIGEST_C}"]
priority = 1
[teams.fizi.quota]
unit = "tokens"
per_second = 6216.5
burst = 12432
plain_tokens = 200

[teams.kelp]
key_digests = []

[teams.kelp.quota]
per_second = 3
burst = 5
`);
    expect(teams).toEqual({
      fizi: {
        key_digests: [DIGEST_A, DIGEST_C],
        priority: 1,
        quota: {
          unit: 'tokens',
          per_second: 6216.5,
          burst: 12432,
          plain_tokens: 200,
        },
      },
      kelp: {
        key_digests: [],
        priority: 0,
        quota: {unit: 'requests', per_second: 3, burst: 5, plain_tokens: 0},
      },
    });
  });

  it('parses the example', () => {
    const {teams} = parse(readFileSync('examples/teams/teams.toml', 'utf8'));
    expect(Object.keys(teams)).toEqual(['alerts', 'reports', 'former']);
  });

  it('names both teams that have the same digest, also over two files, and not the digest', () => {
    const second = `[teams.kelp]\nkey_digests = ["${DIGEST_A}", "${DIGEST_B}"]`;
    let message = '';
    try {
      parseDeclarations([
        {name: 'a.toml', text: team(DIGEST_B)},
        {name: 'b.toml', text: second},
      ]);
    } catch (failure) {
      message = (failure as DeclarationError).message;
    }
    expect(message).toInclude('b.toml: teams.kelp.key_digests.1');
    expect(message).toInclude('teams "fizi" and "kelp" have the same digest');
    expect(message).not.toInclude(DIGEST_B);
    expect(faultMessage(team(DIGEST_B, DIGEST_B))).toInclude(
      'team "fizi" has the same digest twice',
    );
  });

  it('rejects digests of another length or alphabet, with file, line and path', () => {
    const wrong = [
      DIGEST_A.slice(1),
      `${DIGEST_A}=`,
      `${'A'.repeat(42)}B`,
      `${'+'.repeat(42)}A`,
      'f'.repeat(64),
      '',
    ];
    for (const digest of wrong) {
      const message = faultMessage(team(DIGEST_B, digest));
      expect(message).toInclude('teams.toml:2: teams.fizi.key_digests.1');
      expect(message).toInclude(
        'expected a SHA-256 digest in base64url, 43 characters',
      );
      expect(message).toInclude(`found a text of ${digest.length} characters`);
    }
  });

  // An operator may put the key itself into any field; messages go to terminals and logs of CI.
  it('quotes no text of a team in a message', () => {
    const texts = [
      team(KEY),
      `[teams.fizi]\nkey_digests = "${KEY}"`,
      `[teams.fizi]\nkey_digests = []\napi_keys = ["${KEY}"]`,
      `[teams.fizi]\nkey_digests = []\npriority = "${KEY}"`,
      `[teams.fizi]\nkey_digests = []\nquota = {unit = "${KEY}", per_second = 1, burst = 1}`,
      `[teams.fizi]\nkey_digests = []\nquota = "${KEY}"`,
      `[teams]\nfizi = "${KEY}"`,
      `[teams.fizi]\nkey_digests = ["${KEY}`,
    ];
    for (const text of texts) {
      const message = faultMessage(text);
      expect(message.length > 0).toEqual(true);
      expect(message).not.toInclude(KEY);
    }
  });

  it('rejects unknown fields, missing digests, and numbers out of range', () => {
    const valid = team(DIGEST_A);
    const rejected: [string, string][] = [
      [`${valid}colour = "red"`, 'colour'],
      [`${valid}quota = {per_second = 1, burst = 1, window = 1}`, 'window'],
      ['[teams.fizi]\npriority = 1', 'teams.fizi.key_digests'],
      [`${valid}priority = -1`, 'teams.fizi.priority'],
      [`${valid}priority = 0.5`, 'teams.fizi.priority'],
      [`${valid}priority = 1001`, 'found 1001'],
      [`${valid}quota = {per_second = 0, burst = 1}`, 'quota.per_second'],
      [`${valid}quota = {per_second = 1}`, 'quota.burst'],
      ['[teams.Fizi]\nkey_digests = []', 'found the name "Fizi"'],
    ];
    for (const [text, expected] of rejected) {
      expect(faultMessage(text)).toInclude(expected);
    }
  });

  it('reads declarations that were stored before there were teams', () => {
    const {teams: _teams, ...stored} = emptyDeclarations();
    expect(declarationsSchema.parse(stored)).toEqual(emptyDeclarations());
    expect(SECTIONS.at(-1)).toEqual('teams');
  });
});

describe('changes of teams', () => {
  const before = parse(`${team(DIGEST_A)}priority = 2`);

  it('adds, changes and removes one team', () => {
    const after = parse(
      `${team(DIGEST_A, DIGEST_B)}[teams.kelp]\nkey_digests = ["${DIGEST_C}"]`,
    );
    const changes = diffDeclarations(before, after);
    expect(changes.map(({name}) => name)).toEqual(['fizi', 'kelp']);
    expect(applyChanges(before, changes)).toEqual(after);
    const back = diffDeclarations(after, before);
    expect(
      back.map(({name, after: next}) => [name, next === undefined]),
    ).toEqual([
      ['fizi', false],
      ['kelp', true],
    ]);
    expect(applyChanges(after, back)).toEqual(before);
  });

  it('rejects a patch that gives a digest to a second team', () => {
    const change: Change = {
      section: 'teams',
      name: 'kelp',
      after: {key_digests: [DIGEST_A]},
    };
    expect(() => applyChanges(before, [change])).toThrow(
      DeclarationError,
      'teams "fizi" and "kelp" have the same digest',
    );
  });

  it('describes changes without digests, and nothing of an invalid entry', () => {
    const describeTeam = (after: unknown, name = 'fizi'): string =>
      describeChange(before, {section: 'teams', name, after});
    expect(describeTeam({key_digests: [DIGEST_B], priority: 1})).toEqual(
      '~ change teams.fizi: priority from 2 to 1; 1 keys added, 1 removed',
    );
    expect(describeTeam({key_digests: [DIGEST_A], priority: 1})).toEqual(
      '~ change teams.fizi: priority from 2 to 1',
    );
    expect(describeTeam({key_digests: [DIGEST_B], priority: 2})).toEqual(
      '~ change teams.fizi: 1 keys added, 1 removed',
    );
    expect(describeTeam({key_digests: [DIGEST_B]}, 'kelp')).toEqual(
      '+ add teams.kelp {"priority":0,"keys":1}',
    );
    expect(describeTeam(undefined)).toEqual('- remove teams.fizi');
    for (const entry of [{key_digests: [KEY]}, {api_key: KEY}, KEY]) {
      expect(describeTeam(entry)).not.toInclude(KEY);
      expect(describeTeam(entry, 'kelp')).not.toInclude(KEY);
    }
  });
});
