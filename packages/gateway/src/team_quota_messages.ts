/** Messages about the quotas of teams. Instants are sent as remaining milliseconds. */

import type {
  AdmittedTotal,
  GateReport,
  QuotaDecision,
  TeamChange,
  TeamStatement,
} from '@siskinmux/admission';
import {SLOTS_PER_WINDOW} from '@siskinmux/admission';
import type {Instant, TeamName} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import {z} from 'zod';

/** Most teams in one message. */
const MAXIMUM_TEAMS = 4_096;

const teamName = z.string().min(1).max(512);
const amount = z.number().nonnegative();
const reportNumber = z.number().int().nonnegative();
const share = z.number().min(0).max(1);

/** Least amount of a request that costs something: one request or one token. */
const MINIMUM_AMOUNT = 1;

/** Largest amount of a request, far beyond the tokens of any; keeps return times finite. */
const MAXIMUM_AMOUNT = 1e9;

/** Decimal places of a share. */
const SHARE_SCALE = 1e5;

/**
 * What a node has admitted: team and total since its process started. A node that connects states
 * the rest, too: team, total, share, amounts in the parts of the last window, newest first.
 */
export const teamUsageSchema = z.object({
  report: reportNumber,
  teams: z
    .array(z.tuple([teamName, z.number()]))
    .max(MAXIMUM_TEAMS)
    .default([]),
  statement: z
    .array(
      z.tuple([
        teamName,
        z.number(),
        share,
        z.array(amount).max(SLOTS_PER_WINDOW),
      ]),
    )
    .max(MAXIMUM_TEAMS)
    .optional(),
});

/** Request for a permit; `waitFor` is the milliseconds that it can wait. */
export const teamPermitRequestSchema = z.object({
  team: teamName,
  amount,
  waitFor: z.number(),
});

/** The permit, or the milliseconds until a retry and whether the responding node decides. */
export const teamPermitDecisionSchema = z.union([
  z.object({granted: z.literal(true)}),
  z.object({retryIn: z.number(), isOwned: z.boolean()}),
]);

/** Part of a heartbeat: the last report that had arrived, and team, free amount and share. */
export const teamStatesSchema = z.object({
  report: reportNumber,
  changes: z
    .array(z.tuple([teamName, amount, share]))
    .max(MAXIMUM_TEAMS)
    .default([]),
});

/** What a node reports on the wire. */
export type TeamUsageMessage = z.infer<typeof teamUsageSchema>;

/** What a heartbeat says about teams on the wire. */
export type TeamStatesMessage = z.infer<typeof teamStatesSchema>;

/** A node's request for a permit. */
export interface TeamPermitRequest {
  readonly team: TeamName;
  readonly amount: number;
  readonly waitUntil: Instant;
}

export function encodeTeamReport({
  report,
  teams,
}: GateReport<AdmittedTotal>): TeamUsageMessage {
  return {report, teams: teams.map(({team, total}) => [team, total])};
}

export function encodeTeamStatement({
  report,
  teams,
}: GateReport<TeamStatement>): TeamUsageMessage {
  return {
    report,
    teams: [],
    statement: teams.map(each => [
      each.team,
      each.total,
      roundShare(each.share),
      each.recent.map(recent => Math.max(0, recent)),
    ]),
  };
}

export function decodeTeamReport({
  report,
  teams,
}: TeamUsageMessage): GateReport<AdmittedTotal> {
  return {
    report,
    teams: teams.map(([team, total]) => ({team: as<TeamName>(team), total})),
  };
}

/** Undefined if the message is a report of a node that has connected before. */
export function decodeTeamStatement({
  report,
  statement,
}: TeamUsageMessage): GateReport<TeamStatement> | undefined {
  if (statement === undefined) return undefined;
  return {
    report,
    teams: statement.map(([team, total, stated, recent]) => ({
      team: as<TeamName>(team),
      total,
      share: stated,
      recent,
    })),
  };
}

/**
 * A finite amount, positive unless the request costs nothing, as one without a token count does by
 * default. One that is not a number, or negative, counts as the least.
 */
export function clampAmount(requested: number): number {
  if (requested === 0) return 0;
  if (Number.isNaN(requested)) return MINIMUM_AMOUNT;
  return Math.min(MAXIMUM_AMOUNT, Math.max(MINIMUM_AMOUNT, requested));
}

export function encodeTeamPermitRequest(
  {team, amount: requested, waitUntil}: TeamPermitRequest,
  now: Instant,
): z.infer<typeof teamPermitRequestSchema> {
  return {
    team,
    amount: clampAmount(requested),
    waitFor: Math.max(0, Math.round(until(now, waitUntil))),
  };
}

export function decodeTeamPermitRequest(
  message: z.infer<typeof teamPermitRequestSchema>,
  now: Instant,
): TeamPermitRequest {
  return {
    team: as<TeamName>(message.team),
    amount: message.amount,
    waitUntil: after(now, message.waitFor),
  };
}

export function encodeTeamPermitDecision(
  decision: QuotaDecision,
  now: Instant,
): z.infer<typeof teamPermitDecisionSchema> {
  if (decision.kind === 'granted') return {granted: true};
  return {
    retryIn: Math.max(0, Math.ceil(until(now, decision.retryAt))),
    isOwned: decision.kind === 'refused',
  };
}

/** Undefined if the message can't be read. */
export function decodeTeamPermitDecision(
  message: unknown,
  now: Instant,
): QuotaDecision | undefined {
  const {data} = teamPermitDecisionSchema.safeParse(message);
  if (data === undefined) return undefined;
  if ('granted' in data) return {kind: 'granted'};
  return {
    kind: data.isOwned ? 'refused' : 'unowned',
    retryAt: after(now, data.retryIn),
  };
}

export function encodeTeamStates(
  report: number,
  changes: readonly TeamChange[],
): TeamStatesMessage {
  return {
    report,
    changes: changes.map(({team, free, share: told}) => [
      team,
      free,
      roundShare(told),
    ]),
  };
}

export function decodeTeamChanges({changes}: TeamStatesMessage): TeamChange[] {
  return changes.map(([team, free, told]) => ({
    team: as<TeamName>(team),
    free,
    share: told,
  }));
}

function roundShare(value: number): number {
  return Math.round(value * SHARE_SCALE) / SHARE_SCALE;
}
