/** How an endpoint of the product's own interface rejects a request. */

/** Sent with any value by an endpoint that has not run the request and never will. */
export const NOT_RUN_HEADER = 'x-request-not-run';
