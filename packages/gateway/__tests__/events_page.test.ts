import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {gatewayEventsPage} from '../src/index.js';

describe('gateway event catalogue', () => {
  it('is identical to the committed documentation page', () => {
    expect(readFileSync('docs/GATEWAY_EVENTS.md', 'utf8')).toEqual(
      gatewayEventsPage(),
    );
  });
});
