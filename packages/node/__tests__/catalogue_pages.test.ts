import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {parse} from 'smol-toml';
import {SiskinmuxNode, errorsPage, eventsPage} from '../src/index.js';

describe('catalogue pages', () => {
  it('match the committed documentation', () => {
    expect(readFileSync('docs/EVENTS.md', 'utf8')).toEqual(eventsPage());
    expect(readFileSync('docs/ERRORS.md', 'utf8')).toEqual(errorsPage());
  });

  it('list every event that a node registers', () => {
    const settings = parse(
      readFileSync('examples/settings/node-1.toml', 'utf8'),
    );
    const node = SiskinmuxNode.create({
      settings,
      clock: systemClock,
      random: systemRandom,
      writeLog: () => {},
    });
    const page = eventsPage();
    for (const {number, name} of node.events) {
      expect(page).toInclude(`| ${number} | ${name} |`);
    }
    const rows = page.split('\n').filter(line => /^\| \d/.test(line));
    expect(rows.length).toEqual(node.events.length);
  });
});
