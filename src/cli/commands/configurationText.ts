import type * as configurationComparison from '../../common/routing/ConfigurationComparison';
import type * as configurationReview from '../../common/routing/ConfigurationReview';
import type * as routingTypes from '../../common/routing/Types';

const NOTICES: Readonly<Record<configurationComparison.Notice, string>> = {
  refused: 'its requests are refused as unknown',
  'served-by-route': 'requests under this prefix are served by this route',
  'other-servers': 'requests go to other servers, or in other shares',
  repeats: 'whether a request may be run again after a loss changes',
  'waits-longer': 'callers wait longer for slow answers',
  'waits-less': 'callers get an error instead of slower answers',
  'under-load': 'the order, repeats or limits of requests under load change',
  limits: 'which requests and connections are accepted changes',
  'server-state': 'servers are judged or warmed up otherwise; callers notice nothing at first',
  nothing: 'callers notice nothing',
};

function routeText({ name, host, prefix }: routingTypes.IRoute): string {
  return `route ${name} (${host} ${prefix})`;
}

/** Returns what a finding says, in one line. */
export function findingText(finding: configurationReview.Finding): string {
  switch (finding.kind) {
    case 'route-hidden':
      return `${routeText(finding.route)}: never matches, as ${routeText(finding.by)} comes first`;
    case 'route-unmatchable':
      return `${routeText(finding.route)}: never matches, as no request has such a ${finding.part}`;
    case 'target-without-weight':
      return `${routeText(finding.route)}: the service ${finding.service} has no weight`;
    case 'objective-above-timeout': {
      const { objectiveMs, timeoutMs } = finding.route;
      return `${routeText(finding.route)}: objective ${objectiveMs} ms above time-out ${timeoutMs} ms`;
    }
    case 'timeout-zero':
      return `${routeText(finding.route)}: a time-out of 0 refuses each request`;
    case 'timeout-above-deadline': {
      const { deadlineMs, route } = finding;
      return `${routeText(route)}: time-out ${route.timeoutMs} ms above the deadline ${deadlineMs} ms of requests that state none`;
    }
    case 'service-unused':
      return `service ${finding.service}: no route that matches names it`;
    case 'service-repeated':
      return `service ${finding.service}: stated again; the last one applies`;
    case 'cold-rate-below-load':
      return `service ${finding.service}: cold servers take ${finding.rate} requests/s, ${finding.load} are needed`;
    case 'body-limit-above-memory':
      return `limits: bodies of ${finding.limitBytes} bytes do not fit the ${finding.availableBytes} bytes that a daemon holds`;
    case 'header-limit-above-reader':
      return `limits: headers of ${finding.limitBytes} bytes are beyond the ${finding.availableBytes} bytes that a daemon reads`;
  }
}

function changeLines(
  subject: string,
  changes: readonly configurationComparison.IValueChange[],
): string[] {
  return changes.map(({ field, before, after, notice }) => {
    const values = `${JSON.stringify(before) ?? 'none'} -> ${JSON.stringify(after) ?? 'none'}`;
    return `${subject}: ${field} ${values}: ${NOTICES[notice]}`;
  });
}

/** Returns what a difference says, in a line for each value that changes. */
export function differenceLines(difference: configurationComparison.Difference): string[] {
  switch (difference.kind) {
    case 'version-not-newer':
      return [
        `version: ${difference.version} is not above ${difference.inForce}: daemons refuse the configuration`,
      ];
    case 'route-added':
      return [`${routeText(difference.route)}: added: ${NOTICES[difference.notice]}`];
    case 'route-removed':
      return [`${routeText(difference.route)}: removed: ${NOTICES[difference.notice]}`];
    case 'route-changed':
      return changeLines(routeText(difference.route), difference.changes);
    case 'service-added':
      return [`service ${difference.service}: added: ${NOTICES.nothing}`];
    case 'service-removed':
      return [`service ${difference.service}: removed: see its routes`];
    case 'service-changed':
      return changeLines(`service ${difference.service}`, difference.changes);
    case 'limits-changed':
      return changeLines('limits', difference.changes);
  }
}
