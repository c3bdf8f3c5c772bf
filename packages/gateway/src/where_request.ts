/** Answers `GET /where` on the metrics listener, which callers can't reach. */

import {ERROR_MESSAGES, ErrorCode} from '@siskinmux/kernel';
import type {MetricsAnswer, QueryFields} from '@siskinmux/runtime';
import type {WhereExplainer} from './where_explainer.js';
import {WhereQueryError, readWhereQuestion} from './where_question.js';

/** Answers a query; a problem names the field that can't be read, and never its value. */
export function answerWhere(
  explainer: Pick<WhereExplainer, 'explain'>,
  query: QueryFields,
  onUnexpectedFailure: (failure: unknown) => void,
): MetricsAnswer {
  try {
    return {status: 200, body: explainer.explain(readWhereQuestion(query))};
  } catch (failure) {
    if (failure instanceof WhereQueryError)
      return createProblem(400, failure.code, {
        field: failure.field,
        detail: failure.detail,
      });
    onUnexpectedFailure(failure);
    return createProblem(500, ErrorCode.InvariantViolated, {});
  }
}

function createProblem(
  status: number,
  code: ErrorCode,
  details: Readonly<Record<string, string>>,
): MetricsAnswer {
  return {
    status,
    body: {
      type: `urn:siskinmux:problem:${code}`,
      title: ERROR_MESSAGES[code],
      status,
      ...details,
    },
  };
}
